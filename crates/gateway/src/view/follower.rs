//! Keeps the view current. One host watches the store, the others follow it or a relay, and hosts
//! ask peers while their view is stale.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::Revision;
use rand::seq::SliceRandom;

use crate::clock;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::mesh::frame::SourceRole;
use crate::model::kind::ObjectKind;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::store_admission::Admission;
use crate::policy::store_watchers::StoreWatcherChoice;
use crate::store_error::StoreError;

/// Interval at which a host that watches the store polls its revision. The age of the kinds in
/// `AGE_LIMITED_KINDS` stays below this interval plus the duration of a call.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of such a call, above the few hundred ms that a slow store takes. The return of a store
/// is noticed within this time.
const REVISION_POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which the store holds a watch request open. A dead connection is noticed only after
/// this time, which must stay below the bounds of 5 s and more on evacuations and leaving members.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2500);
/// Kinds that a host may only act upon while its copy is recent enough.
const AGE_LIMITED_KINDS: [ObjectKind; 2] = [ObjectKind::Configuration, ObjectKind::Primaries];
/// Age from which a view is stale, so that a host that does not watch the store asks some peers,
/// and reads the store itself. Below the bounds on keys and primaries, which are 3 s and more.
const STALE_AGE: Duration = Duration::from_millis(2000);
/// Age of the view from which a host follows another one than before.
const SOURCE_AGE_LIMIT: Duration = Duration::from_millis(1800);
/// Age of the view from which the hosts that come after the store watcher read the store too, so
/// that they are current when others begin to follow them.
const STANDBY_AGE: Duration = Duration::from_millis(1300);
/// Interval at which a host checks whether its view is stale.
const STALENESS_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which a host checks whether it has to read the store.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of peers asked at the same time.
const PEER_COUNT: usize = 3;
/// Timeout of a call to a peer, in addition to the time for which the peer holds it open.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Lists and watches one kind in the store until the process ends, while this host reads the store.
pub async fn follow<P: Platform>(node: Rc<Node<P>>, kind: ObjectKind) {
    let mut listed = false;
    loop {
        if !reads_store(&node) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            // A list renews the view's age at once; a watch without changes only after its wait.
            listed = false;
            continue;
        }
        let admission = node.admission.borrow_mut().admit(clock::now());
        let result = match admission {
            Admission::Call => list_or_watch(&node, kind, &mut listed).await,
            // The next list or watch may wait long for its answer.
            Admission::Probe => node.store.revision().await.map(drop),
            Admission::Wait => {
                tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
        };
        match result {
            Ok(()) => {
                if node.admission.borrow_mut().on_success() {
                    tracing::info!(event = 602, ?kind, "store reachable again");
                }
            }
            Err(StoreError::Compacted) => {
                tracing::info!(event = 604, ?kind, "store history compacted, listing again");
                listed = false;
            }
            Err(error) => on_store_failure(&node, kind, &error),
        }
    }
}

fn on_store_failure<P: Platform>(node: &Rc<Node<P>>, kind: ObjectKind, error: &StoreError) {
    let watches = watches_store(node);
    let hosts = node.hosts().count;
    let mut admission = node.admission.borrow_mut();
    if !admission.is_failing() {
        tracing::warn!(event = 601, ?kind, %error, "store not reachable");
    }
    admission.on_failure(watches, hosts, rand::random(), clock::now());
}

/// Lists the kind if that is not done yet, else waits for its next changes.
async fn list_or_watch<P: Platform>(
    node: &Rc<Node<P>>,
    kind: ObjectKind,
    listed: &mut bool,
) -> Result<(), StoreError> {
    if !*listed {
        list_kind(node, kind).await?;
        *listed = true;
        return Ok(());
    }
    let sent = clock::now();
    let from = node.view.borrow().watch_revision(kind);
    let changes = node.store.watch(kind, from, WATCH_TIMEOUT).await?;
    let changed = !changes.changes.is_empty();
    node.view
        .borrow_mut()
        .on_changes(kind, changes, sent, clock::now());
    if changed {
        node.on_view_changed();
    }
    Ok(())
}

/// Polls the store's revision to renew the age of the kinds in `AGE_LIMITED_KINDS`, until the
/// process ends. A watch only shows what was current when it was sent, and may miss changes while
/// the store compacts its history.
pub async fn poll_revision<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::time::sleep(REVISION_POLL_INTERVAL).await;
        if !watches_store(&node) {
            continue;
        }
        let sent = clock::now();
        let response = tokio::time::timeout(REVISION_POLL_TIMEOUT, node.store.revision()).await;
        let revision = match response {
            Ok(Ok(revision)) => revision,
            Ok(Err(error)) => {
                tracing::debug!(event = 619, %error, "could not read the store's revision");
                continue;
            }
            Err(_) => {
                tracing::debug!(event = 619, "timeout while reading the store's revision");
                node.store.reconnect();
                continue;
            }
        };
        for kind in AGE_LIMITED_KINDS {
            let current = {
                let mut view = node.view.borrow_mut();
                view.on_revision(kind, revision, sent)
            };
            if current {
                continue;
            }
            if let Err(error) = list_kind(&node, kind).await {
                tracing::debug!(event = 619, ?kind, %error, "could not list the objects of a kind");
            }
        }
    }
}

/// Lists a kind in the store and applies the answer.
pub async fn list_kind<P: Platform>(
    node: &Rc<Node<P>>,
    kind: ObjectKind,
) -> Result<(), StoreError> {
    let sent = clock::now();
    let listing = node.store.list(kind).await?;
    warn_unreadable(
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

fn warn_unreadable(kind: ObjectKind, count: usize) {
    if count > 0 {
        tracing::warn!(
            event = 605,
            ?kind,
            count,
            "ignoring objects that cannot be decoded"
        );
    }
}

/// Follows the view of another host with long polls, while this host is not the store watcher.
pub async fn follow_host<P: Platform>(node: Rc<Node<P>>) {
    let mut choice = StoreWatcherChoice::default();
    loop {
        let hosts = node.hosts();
        let source = choice.choose(hosts.plan.sources(), clock::now());
        let Some(source) = source.filter(|r| *r != node.settings.host) else {
            tokio::time::sleep(STALENESS_CHECK_INTERVAL).await;
            continue;
        };
        let known = node.view.borrow().content_revisions();
        let role = if hosts.plan.relays.contains(&source) {
            SourceRole::Relay
        } else {
            SourceRole::StoreWatcher
        };
        let wait = hosts.plan.poll_timeout;
        let answered = request_view(&node, &source, role, known, wait).await;
        if !answered || is_older_than(&node, SOURCE_AGE_LIMIT) {
            tracing::info!(
                event = 618,
                source,
                answered,
                "cannot follow a host's view, trying the next one"
            );
            choice.on_failure(source, clock::now());
        }
    }
}

/// Asks a few peers for their view while this host's view is stale, until the process ends.
pub async fn poll_peers<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::time::sleep(STALENESS_CHECK_INTERVAL).await;
        if !is_stale(&node) {
            continue;
        }
        let known = node.view.borrow().content_revisions();
        let mut hosts = node.live_hosts();
        hosts.retain(|h| *h != node.settings.host);
        hosts.shuffle(&mut rand::rng());
        let peers = hosts.iter().take(PEER_COUNT);
        let calls = peers
            .map(|host| request_view(&node, host, SourceRole::Peer, known.clone(), Duration::ZERO));
        futures::future::join_all(calls).await;
    }
}

fn is_stale<P: Platform>(node: &Rc<Node<P>>) -> bool {
    is_older_than(node, STALE_AGE)
}

fn is_older_than<P: Platform>(node: &Rc<Node<P>>, limit: Duration) -> bool {
    let age = node.view.borrow().age(&AGE_LIMITED_KINDS, clock::now());
    age.is_none_or(|age| age > limit)
}

/// Returns whether this host watches the store on behalf of others: it is the first to do so, or
/// others follow it in place of the first, or it is the next and its view is growing old.
fn watches_store<P: Platform>(node: &Rc<Node<P>>) -> bool {
    if !node.admission.borrow().is_started() {
        return false;
    }
    match node.watcher_rank() {
        Some(0) => true,
        Some(_) => node.reports.has_followers() || is_older_than(node, STANDBY_AGE),
        None => false,
    }
}

/// Returns whether this host reads the store itself.
fn reads_store<P: Platform>(node: &Rc<Node<P>>) -> bool {
    if watches_store(node) {
        return true;
    }
    let stale = is_stale(node);
    let hosts = node.hosts().count;
    let mut admission = node.admission.borrow_mut();
    admission.is_started() && admission.may_read_stale(stale, hosts, rand::random(), clock::now())
}

/// Asks a host for its view and applies the answer. Returns false if the host did not answer.
pub async fn request_view<P: Platform>(
    node: &Rc<Node<P>>,
    host: &str,
    role: SourceRole,
    known: Vec<(ObjectKind, Revision)>,
    max_wait: Duration,
) -> bool {
    let sent = clock::now();
    let call = Call::View {
        role,
        known,
        max_wait,
    };
    let answer = node
        .mesh
        .call(host, call, max_wait + PEER_CALL_TIMEOUT)
        .await;
    let Ok(Response::View { waited, reports }) = answer else {
        tracing::debug!(event = 606, host, "peer did not report its view");
        return false;
    };
    let mut changed = false;
    let mut incomplete = Vec::new();
    for report in reports {
        // The peer computed the age at least `waited` after the call was sent, so `at` is never
        // later than the time at which the copy was current.
        let at = (sent + waited).saturating_sub(report.age);
        let kind = report.kind;
        let mut view = node.view.borrow_mut();
        changed |= report.is_change();
        if !view.on_report(report, at, clock::now()) {
            incomplete.push(kind);
        }
    }
    for kind in incomplete {
        if let Err(error) = list_kind(node, kind).await {
            tracing::warn!(event = 601, ?kind, %error, "store not reachable");
        }
    }
    if changed {
        node.on_view_changed();
    }
    true
}
