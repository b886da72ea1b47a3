//! Keeps the view current: watches the store, and asks peers while the store does not answer.

use std::rc::Rc;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::clock;
use crate::mesh::frame::Call;
use crate::mesh::frame::Return;
use crate::model::kind::Kind;
use crate::model::object::Content;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::store_error::StoreError;

/// Time a watch waits at the store. It bounds the age of the view of an idle store, and sets the
/// number of calls.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Pause after a failed call, before jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Age of the view from which peers are asked for theirs.
const PEER_AGE: Duration = Duration::from_millis(1600);
/// Interval at which the age is checked.
const PEER_INTERVAL: Duration = Duration::from_millis(400);
/// Peers asked at a time.
const PEERS_ASKED: usize = 3;
/// Limit of a call to a peer.
const PEER_LIMIT: Duration = Duration::from_millis(500);

/// Follows one kind until the process ends.
pub async fn follow<P: Platform>(node: Rc<Node<P>>, kind: Kind) {
    let mut listed = false;
    let mut failing = false;
    loop {
        let result = step(&node, kind, &mut listed).await;
        match result {
            Ok(()) => {
                if std::mem::take(&mut failing) {
                    tracing::info!(event = 602, ?kind, "store reached again");
                }
            }
            Err(StoreError::Compacted) => {
                tracing::info!(event = 604, ?kind, "history is gone, listing again");
                listed = false;
            }
            Err(error) => {
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(event = 601, ?kind, %error, "store not reached");
                }
                let jitter = rand::random_range(0.5..1.5);
                tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
            }
        }
    }
}

async fn step<P: Platform>(
    node: &Rc<Node<P>>,
    kind: Kind,
    listed: &mut bool,
) -> Result<(), StoreError> {
    let sent = clock::now();
    if !*listed {
        let listing = node.store.list(kind).await?;
        unreadable(
            kind,
            listing
                .objects
                .iter()
                .filter(|o| o.content.is_none())
                .count(),
        );
        node.view
            .borrow_mut()
            .on_listing(kind, listing, sent, clock::now());
        *listed = true;
        node.on_view_changed();
        return Ok(());
    }
    let from = node.view.borrow().revision(kind);
    let changes = node.store.watch(kind, from, WATCH_WAIT).await?;
    let changed = !changes.changes.is_empty();
    node.view
        .borrow_mut()
        .on_changes(kind, changes, sent, clock::now());
    if changed {
        node.on_view_changed();
    }
    Ok(())
}

fn unreadable(kind: Kind, count: usize) {
    if count > 0 {
        tracing::warn!(
            event = 605,
            ?kind,
            count,
            "objects that cannot be read are ignored"
        );
    }
}

/// Asks peers for their view while the own one grows old, until the process ends.
pub async fn ask_peers<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        let now = clock::now();
        let old: Vec<_> = {
            let view = node.view.borrow();
            let is_old = |k: &Kind| view.age(&[*k], now).is_none_or(|age| age > PEER_AGE);
            Kind::ALL
                .into_iter()
                .filter(is_old)
                .map(|k| (k, view.revision(k)))
                .collect()
        };
        if old.is_empty() {
            continue;
        }
        let mut hosts = node.live_hosts();
        hosts.retain(|h| *h != node.settings.host);
        hosts.shuffle(&mut rand::rng());
        let asked = hosts.iter().take(PEERS_ASKED);
        futures::future::join_all(asked.map(|host| ask(&node, host, &old))).await;
    }
}

async fn ask<P: Platform>(node: &Rc<Node<P>>, host: &str, known: &[(Kind, u64)]) {
    let asked = clock::now();
    let call = Call::View {
        known: known.to_vec(),
    };
    let answer = node.mesh.call(host, call, PEER_LIMIT).await;
    let Ok(Return::View(reports)) = answer else {
        tracing::debug!(event = 606, host, "a peer did not report its view");
        return;
    };
    let mut changed = false;
    for report in reports {
        // The age was counted after the question left, so this time is not too late.
        let at = asked.saturating_sub(report.age);
        let mut view = node.view.borrow_mut();
        if let Some(listing) = report.listing {
            changed = true;
            view.on_listing(report.kind, listing, at, clock::now());
        }
        view.on_vouched(report.kind, report.revision, at);
    }
    if changed {
        node.on_view_changed();
    }
}

/// Registers this host, and again whenever its entry is missing or another process's.
pub async fn register<P: Platform>(node: Rc<Node<P>>) {
    let mut changed = node.changed.subscribe();
    loop {
        let stopping = node.is_stopping();
        let wanted = crate::model::host_entry::HostEntry {
            mesh: node.settings.mesh,
            data_centre: node.settings.data_centre.clone(),
            incarnation: node.incarnation,
            leaving: stopping,
        };
        let (known, revision) = {
            let view = node.view.borrow();
            let known = view.host(&node.settings.host).cloned();
            let object = view.kind(Kind::Hosts);
            let object = object.and_then(|k| k.objects.get(&node.settings.host));
            (known, object.map(|o| o.revision))
        };
        let listed = node
            .view
            .borrow()
            .age(&[Kind::Hosts], clock::now())
            .is_some();
        if listed && known.as_ref() != Some(&wanted) {
            let content = Content::Host(wanted);
            let written = node
                .store
                .put(Kind::Hosts, &node.settings.host, revision, &content)
                .await;
            match written {
                Ok(object) => {
                    tracing::info!(event = 607, stopping, "host registered");
                    let mut view = node.view.borrow_mut();
                    view.on_written(Kind::Hosts, object, clock::now());
                    drop(view);
                    node.on_view_changed();
                    continue;
                }
                Err(error) => {
                    tracing::warn!(event = 608, %error, "host not registered");
                    if let StoreError::Conflict(Some(object)) = error {
                        let mut view = node.view.borrow_mut();
                        view.on_written(Kind::Hosts, *object, clock::now());
                    }
                    tokio::time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}
