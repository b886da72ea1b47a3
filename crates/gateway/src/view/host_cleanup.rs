//! Removes the registrations of hosts that no longer run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;

use crate::clock;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::model::kind::ObjectKind;
use crate::model::object::Content;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::store_error::StoreError;

/// Interval of the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// A host that requested this host's view within this time is alive; hosts do so about once a
/// second.
const ALIVE_WINDOW: Duration = Duration::from_millis(1500);
/// Added to the maximum age of a trusted configuration to get the time after which the registration
/// of an unreachable host is removed. Unless it reaches the store, in which case it registers again,
/// the host then serves nobody, so that its tasks can move.
const UNREACHABLE_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of a ping to a host that has not requested the view recently.
const PING_TIMEOUT: Duration = Duration::from_millis(600);

/// Checks the hosts for which this one is responsible, until the process ends.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let silent_since: RefCell<BTreeMap<HostId, Duration>> = RefCell::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let hosts = node.hosts();
        if node.is_stopping() {
            return;
        }
        let cleans = &hosts.plan.cleans;
        silent_since
            .borrow_mut()
            .retain(|host, _| cleans.contains(host));
        // At the same time, since calls to hosts that are lost take long to fail.
        let checks = cleans
            .iter()
            .map(|host| check_host(&node, host, &silent_since));
        futures::future::join_all(checks).await;
    }
}

/// Returns the revision of a host's entry.
fn registration<P: Platform>(node: &Rc<Node<P>>, host: &str) -> Option<Revision> {
    let view = node.view.borrow();
    let entry = view.kind(ObjectKind::Hosts)?.objects.get(host);
    entry.map(|o| o.revision)
}

/// Checks a host, and removes its registration if it has ended or been unreachable for too long.
async fn check_host<P: Platform>(
    node: &Rc<Node<P>>,
    host: &HostId,
    silent_since: &RefCell<BTreeMap<HostId, Duration>>,
) {
    let Some(revision) = registration(node, host) else {
        return;
    };
    let now = clock::now();
    let recent = |at| now.saturating_sub(at) < ALIVE_WINDOW;
    if node.reports.last_request(host).is_some_and(recent) {
        silent_since.borrow_mut().remove(host);
        return;
    }
    let since = *silent_since.borrow_mut().entry(host.clone()).or_insert(now);
    let answer = node.mesh.call(host, Call::Ping, PING_TIMEOUT).await;
    if answer.is_ok() {
        silent_since.borrow_mut().remove(host);
        return;
    }
    let ended = matches!(answer, Err(CallError::Ended));
    let limit = node.bounds.get().max_key_age() + UNREACHABLE_MARGIN;
    let expired = ended || now.saturating_sub(since) >= limit;
    if !expired {
        return;
    }
    silent_since.borrow_mut().remove(host);
    match remove_registration(node, host, revision, ended).await {
        Ok(()) => tracing::info!(
            event = 616,
            host,
            ended,
            "removed the registration of a host"
        ),
        Err(error) => {
            tracing::debug!(event = 617, host, %error, "could not remove a registration")
        }
    }
}

/// Removes a registration. If the host's process has ended, marks the entry as leaving first, since
/// a change of primary waits for a host that was removed without leaving and may still be running.
async fn remove_registration<P: Platform>(
    node: &Rc<Node<P>>,
    host: &HostId,
    mut revision: Revision,
    ended: bool,
) -> Result<(), StoreError> {
    let entry = node.view.borrow().host(host).cloned();
    if let Some(mut entry) = entry.filter(|e| ended && !e.leaving) {
        entry.leaving = true;
        let content = Content::Host(entry);
        let written = node
            .store
            .put(ObjectKind::Hosts, host, Some(revision), &content);
        revision = written.await?.revision;
    }
    node.store.remove(ObjectKind::Hosts, host, revision).await
}
