//! Maintains this host's `host` object in the store.

use std::sync::Arc;

use magnoliahatch_client::change_id;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::host_record::HostRecord;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;
use tokio::sync::watch;
use tracing::debug;
use tracing::info;
use tracing::warn;

use crate::config::backoff::Backoff;

/// Writes the host object at startup and again after a deletion. Dropping the announcer ends its
/// task.
#[derive(Debug)]
pub struct Announcer {
    store: StoreClient,
    host: HostId,
    written: watch::Receiver<Option<Revision>>,
}

impl Announcer {
    /// Starts the task, which retries while the store is unavailable.
    pub fn spawn(
        store: StoreClient,
        views: watch::Receiver<Arc<ConfigView>>,
        host: HostId,
        record: HostRecord,
    ) -> Self {
        let (sender, written) = watch::channel(None);
        let task = run(store.clone(), views, host.clone(), record, sender);
        tokio::spawn(task);
        Self {
            store,
            host,
            written,
        }
    }

    /// Version of the object that this host last wrote; `None` before the first write.
    pub fn written(&self) -> watch::Receiver<Option<Revision>> {
        self.written.clone()
    }

    /// Deletes the object on a planned shutdown, unless another process has replaced it.
    pub async fn withdraw(self) -> Result<(), StoreError> {
        let Some(version) = *self.written.borrow() else {
            return Ok(());
        };
        match self.store.delete(kind::HOST, &self.host, version).await {
            Err(StoreError::Conflict { .. } | StoreError::NotFound { .. }) => Ok(()),
            other => other,
        }
    }
}

async fn run(
    store: StoreClient,
    mut views: watch::Receiver<Arc<ConfigView>>,
    host: HostId,
    record: HostRecord,
    written: watch::Sender<Option<Revision>>,
) {
    let value = match serde_json::to_value(&record) {
        Ok(value) => value,
        // A host status has only string keys and integers, so encoding cannot fail.
        Err(_) => return,
    };
    let write_request = WriteRequest {
        change_id: change_id::generate(),
        value,
    };
    loop {
        let own = tokio::select! {
            own = write(&store, &host, &write_request) => own,
            () = written.closed() => return,
        };
        info!(
            event = 105,
            host,
            version = own.version,
            "host object written"
        );
        written.send_replace(Some(own.version));
        let replaced = |view: &Arc<ConfigView>| match view.object(kind::HOST, &host) {
            Some(found) => found.version > own.version,
            None => view.revision >= own.version,
        };
        let object = tokio::select! {
            view = views.wait_for(replaced) => match view {
                Ok(view) => view.object(kind::HOST, &host).cloned(),
                Err(_) => return,
            },
            () = written.closed() => return,
        };
        if let Some(object) = object {
            warn!(
                event = 106,
                host,
                version = object.version,
                "another process announced itself under this host's name"
            );
            // Writing again would make the two processes overwrite each other indefinitely.
            return;
        }
    }
}

/// Overwrites an object left by an earlier run; retries until the write succeeds.
async fn write(store: &StoreClient, host: &HostId, write_request: &WriteRequest) -> StoredObject {
    let mut backoff = Backoff::default();
    loop {
        let version = match store.get(kind::HOST, host).await {
            Ok(object) => Ok(object.version),
            Err(StoreError::NotFound { .. }) => Ok(0),
            Err(error) => Err(error),
        };
        let result = match version {
            Ok(version) => store.put(kind::HOST, host, version, write_request).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(object) => return object,
            Err(error) => debug!(event = 108, %error, host, "host object not written; retrying"),
        }
        tokio::time::sleep(backoff.delay()).await;
    }
}
