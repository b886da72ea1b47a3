//! Keeps this host's `host` object in the store.

use std::sync::Arc;

use magnoliahatch_client::change_id;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::draft::Draft;
use magnoliahatch_client::objects::host_status::HostStatus;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;
use tokio::sync::watch;
use tracing::debug;
use tracing::info;
use tracing::warn;

use crate::config::backoff::Backoff;

/// Writes the host's object at the start and when it is deleted. Dropping it ends its task.
#[derive(Debug)]
pub struct Announcer {
    store: StoreClient,
    host: HostId,
    written: watch::Receiver<Option<Revision>>,
}

impl Announcer {
    /// Starts to announce; retries for as long as the store is down.
    pub fn spawn(
        store: StoreClient,
        views: watch::Receiver<Arc<ConfigView>>,
        host: HostId,
        status: HostStatus,
    ) -> Self {
        let (sender, written) = watch::channel(None);
        let task = run(store.clone(), views, host.clone(), status, sender);
        tokio::spawn(task);
        Self {
            store,
            host,
            written,
        }
    }

    /// Version of the object as this host last wrote it; none before the store was reached.
    pub fn written(&self) -> watch::Receiver<Option<Revision>> {
        self.written.clone()
    }

    /// Deletes the object at a planned stop, unless another process has replaced it.
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
    status: HostStatus,
    written: watch::Sender<Option<Revision>>,
) {
    let value = match serde_json::to_value(&status) {
        Ok(value) => value,
        // A host status has only string keys and integers, so it can always be encoded.
        Err(_) => return,
    };
    let draft = Draft {
        change_id: change_id::draw(),
        value,
    };
    loop {
        let mine = tokio::select! {
            mine = write(&store, &host, &draft) => mine,
            () = written.closed() => return,
        };
        info!(
            event = 105,
            host,
            version = mine.version,
            "host object written"
        );
        written.send_replace(Some(mine.version));
        let replaced = |view: &Arc<ConfigView>| match view.object(kind::HOST, &host) {
            Some(found) => found.version > mine.version,
            None => view.revision >= mine.version,
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
            // Writing again would make the two processes replace each other for ever.
            return;
        }
    }
}

/// Writes over whatever an earlier run left, until the store accepts.
async fn write(store: &StoreClient, host: &HostId, draft: &Draft) -> StoredObject {
    let mut backoff = Backoff::default();
    loop {
        let version = match store.get(kind::HOST, host).await {
            Ok(object) => Ok(object.version),
            Err(StoreError::NotFound { .. }) => Ok(0),
            Err(error) => Err(error),
        };
        let result = match version {
            Ok(version) => store.put(kind::HOST, host, version, draft).await,
            Err(error) => Err(error),
        };
        match result {
            Ok(object) => return object,
            Err(error) => debug!(event = 108, %error, host, "host object not written; retrying"),
        }
        tokio::time::sleep(backoff.delay()).await;
    }
}
