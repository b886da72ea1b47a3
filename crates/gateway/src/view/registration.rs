//! Keeps this host registered in the store.

use std::rc::Rc;

use crate::clock;
use crate::model::host_entry::HostEntry;
use crate::model::kind::ObjectKind;
use crate::model::object::Content;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::backoff::Backoff;
use crate::store_error::StoreError;
use crate::view::follower;

/// Registers this host, and registers it again whenever its entry is missing or outdated.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let mut changed = node.changed.subscribe();
    let mut backoff = Backoff::default();
    loop {
        let wanted = HostEntry {
            mesh: node.settings.mesh,
            data_centre: node.settings.data_centre.clone(),
            incarnation: node.incarnation,
            capacity: node.settings.capacity,
            leaving: node.is_stopping(),
        };
        let known = node.view.borrow().host(&node.settings.host).cloned();
        if known.as_ref() != Some(&wanted) {
            match write_entry(&node, wanted).await {
                Ok(()) => {
                    backoff.on_success();
                    confirm_primaries(&node).await;
                }
                Err(error) => {
                    tracing::warn!(event = 608, %error, "could not register the host");
                    tokio::time::sleep(backoff.on_failure(rand::random())).await;
                }
            }
            continue;
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the records of the primaries if the copy is older than this host's registration, since
/// they may not be used until then. Without an answer the host waits for the next copy of a peer.
pub async fn confirm_primaries<P: Platform>(node: &Rc<Node<P>>) {
    let records = {
        let view = node.view.borrow();
        view.kind(ObjectKind::Primaries).and_then(|k| k.current_at)
    };
    let times = node.copy_times(records);
    // Without a copy the first view is still to come.
    if times.records.is_none() || times.registered.is_none() || times.is_confirmed() {
        return;
    }
    if let Err(error) = follower::list_kind(node, ObjectKind::Primaries).await {
        tracing::debug!(
            event = 619,
            kind = ?ObjectKind::Primaries,
            %error,
            "could not list the objects of a kind"
        );
    }
}

/// Writes the entry once. A conflict shows the entry that has to be replaced, so that a host that
/// starts need not read it first.
async fn write_entry<P: Platform>(node: &Rc<Node<P>>, entry: HostEntry) -> Result<(), StoreError> {
    let stopping = entry.leaving;
    let host = &node.settings.host;
    let revision = {
        let view = node.view.borrow();
        let object = view.kind(ObjectKind::Hosts);
        object.and_then(|k| k.objects.get(host)).map(|o| o.revision)
    };
    let content = Content::Host(entry);
    let written = node.store.put(ObjectKind::Hosts, host, revision, &content);
    let (object, result) = match written.await {
        Ok(object) => {
            tracing::info!(event = 607, stopping, "host registered");
            (object, Ok(()))
        }
        // Without a known revision the conflict only shows that the host ran before.
        Err(StoreError::Conflict(Some(object))) if revision.is_none() => (*object, Ok(())),
        Err(StoreError::Conflict(Some(object))) => (*object, Err(StoreError::Conflict(None))),
        Err(error) => return Err(error),
    };
    let mut view = node.view.borrow_mut();
    view.on_written(ObjectKind::Hosts, object, clock::now());
    drop(view);
    node.on_view_changed();
    result
}
