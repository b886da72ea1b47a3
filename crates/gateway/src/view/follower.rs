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
use crate::policy::backoff::Backoff;
use crate::policy::readers::ReaderChoice;
use crate::store_error::StoreError;

/// Interval at which a host that reads the store asks for its revision. The age of the kinds that
/// limit what a host may do stays below this and the time of a call.
const STAMP_INTERVAL: Duration = Duration::from_millis(500);
/// Limit of such a call, above the few hundred ms of a slow store. A store that returns is noticed
/// within this time.
const STAMP_LIMIT: Duration = Duration::from_millis(600);
/// Time a watch waits at the store. A connection that went silent costs this time, which
/// must stay below the bounds on evacuations and leaving members of 5 s and more.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// Time that an answer to a peer may wait for news. Twice the watch and this must stay below
/// `PEER_AGE`.
const HOLD: Duration = Duration::from_millis(600);
/// Kinds whose age limits what a host may do.
const STAMPED: [Kind; 2] = [Kind::Configuration, Kind::Primaries];
/// Pause before the registration is written again.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Age of the view from which a host that is no reader reads the store and asks some peers. Below
/// the bounds on keys and primaries, which are 3 s and more.
const PEER_AGE: Duration = Duration::from_millis(2000);
/// Interval at which the age is checked.
const PEER_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which a host looks whether it has to read the store.
const ROLE_INTERVAL: Duration = Duration::from_millis(100);
/// Peers asked at a time.
const PEERS_ASKED: usize = 3;
/// Limit of a call to a peer.
const PEER_LIMIT: Duration = Duration::from_millis(500);

/// Follows one kind until the process ends.
pub async fn follow<P: Platform>(node: Rc<Node<P>>, kind: Kind) {
    let mut listed = false;
    let mut backoff = Backoff::default();
    loop {
        let started = node.view.borrow().age(&[kind], clock::now()).is_some();
        if started && !reads_store(&node) {
            tokio::time::sleep(ROLE_INTERVAL).await;
            // A list shows at once how current the view is; a watch only after its wait.
            listed = false;
            continue;
        }
        let result = step(&node, kind, &mut listed).await;
        match result {
            Ok(()) => {
                if backoff.on_success() {
                    tracing::info!(event = 602, ?kind, "store reached again");
                }
            }
            Err(StoreError::Compacted) => {
                tracing::info!(event = 604, ?kind, "history is gone, listing again");
                listed = false;
            }
            Err(error) => {
                if !backoff.is_failing() {
                    tracing::warn!(event = 601, ?kind, %error, "store not reached");
                }
                tokio::time::sleep(backoff.on_failure(rand::random())).await;
            }
        }
    }
}

async fn step<P: Platform>(
    node: &Rc<Node<P>>,
    kind: Kind,
    listed: &mut bool,
) -> Result<(), StoreError> {
    if !*listed {
        list(node, kind).await?;
        *listed = true;
        return Ok(());
    }
    let sent = clock::now();
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

/// Renews the age of the kinds that limit what a host may do, until the process ends. A watch shows
/// only what was current when it was sent, and may miss changes while the store drops its history.
pub async fn stamp<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::time::sleep(STAMP_INTERVAL).await;
        if !reads_store(&node) {
            continue;
        }
        let sent = clock::now();
        let asked = tokio::time::timeout(STAMP_LIMIT, node.store.revision()).await;
        let revision = match asked {
            Ok(Ok(revision)) => revision,
            Ok(Err(error)) => {
                tracing::debug!(event = 619, %error, "the store's revision is not known");
                continue;
            }
            Err(_) => {
                tracing::debug!(event = 619, "the store's revision is not known in time");
                node.store.reconnect();
                continue;
            }
        };
        for kind in STAMPED {
            let current = {
                let mut view = node.view.borrow_mut();
                view.on_revision(kind, revision, sent)
            };
            if current {
                continue;
            }
            if let Err(error) = list(&node, kind).await {
                tracing::debug!(event = 619, ?kind, %error, "a kind was not listed");
            }
        }
    }
}

async fn list<P: Platform>(node: &Rc<Node<P>>, kind: Kind) -> Result<(), StoreError> {
    let sent = clock::now();
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
    node.on_view_changed();
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

/// Asks the reader for its view, as long as this host is none itself.
pub async fn ask_readers<P: Platform>(node: Rc<Node<P>>) {
    let mut choice = ReaderChoice::default();
    loop {
        let reader = choice.choose(node.readers(), clock::now());
        let Some(reader) = reader.filter(|r| *r != node.settings.host) else {
            tokio::time::sleep(PEER_INTERVAL).await;
            continue;
        };
        let known = node.view.borrow().contents();
        let asked = ask(&node, &reader, known, HOLD).await;
        if !asked || is_old(&node) {
            tracing::info!(
                event = 618,
                reader,
                asked,
                "reader of the store passed over"
            );
            choice.on_failure(reader, clock::now());
        }
    }
}

/// Asks some peers for their view while the own one is old, until the process ends.
pub async fn ask_peers<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::time::sleep(PEER_INTERVAL).await;
        if !is_old(&node) {
            continue;
        }
        let known = node.view.borrow().contents();
        let mut hosts = node.live_hosts();
        hosts.retain(|h| *h != node.settings.host);
        hosts.shuffle(&mut rand::rng());
        let asked = hosts.iter().take(PEERS_ASKED);
        let calls = asked.map(|host| ask(&node, host, known.clone(), Duration::ZERO));
        futures::future::join_all(calls).await;
    }
}

fn is_old<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let age = node.view.borrow().age(&STAMPED, clock::now());
    age.is_none_or(|age| age > PEER_AGE)
}

/// Whether this host reads the store itself.
fn reads_store<P: Platform>(node: &Rc<Node<P>>) -> bool {
    node.is_reader() || is_old(node)
}

async fn ask<P: Platform>(
    node: &Rc<Node<P>>,
    host: &str,
    known: Vec<(Kind, u64)>,
    hold: Duration,
) -> bool {
    let asked = clock::now();
    let call = Call::View { known, hold };
    let answer = node.mesh.call(host, call, hold + PEER_LIMIT).await;
    let Ok(Return::View { held, reports }) = answer else {
        tracing::debug!(event = 606, host, "a peer did not report its view");
        return false;
    };
    let mut changed = false;
    let mut large = Vec::new();
    for report in reports {
        // The age was counted at least `held` after the question left, so this time is not too
        // late.
        let at = (asked + held).saturating_sub(report.age);
        let kind = report.kind;
        let mut view = node.view.borrow_mut();
        changed |= !report.names.is_empty() || !report.objects.is_empty();
        if !view.on_report(report, at, clock::now()) {
            large.push(kind);
        }
    }
    for kind in large {
        if let Err(error) = list(node, kind).await {
            tracing::warn!(event = 601, ?kind, %error, "store not reached");
        }
    }
    if changed {
        node.on_view_changed();
    }
    true
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
