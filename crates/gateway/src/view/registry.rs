//! Removes the registrations of hosts that have ended.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;

use crate::clock;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::model::kind::Kind;
use crate::model::object::Content;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::store_error::StoreError;

/// Interval of the search.
const INTERVAL: Duration = Duration::from_millis(700);
/// A host that asked for the view within this time is alive; hosts ask about once a second.
const SILENCE: Duration = Duration::from_millis(2500);
/// A host that cannot be reached for this long is removed; it registers again when it returns.
const DARK_LIMIT: Duration = Duration::from_secs(8);
/// Limit of a question to a silent host.
const PING_LIMIT: Duration = Duration::from_millis(600);

/// Searches until the process ends, while this host is the first reader of the store.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let mut silent: BTreeMap<HostId, Duration> = BTreeMap::new();
    loop {
        tokio::time::sleep(INTERVAL).await;
        if node.is_stopping() || node.readers().first() != Some(&node.settings.host) {
            silent.clear();
            continue;
        }
        for (host, revision) in registered(&node) {
            check(&node, &host, revision, &mut silent).await;
        }
    }
}

fn registered<P: Platform>(node: &Rc<Node<P>>) -> Vec<(HostId, Revision)> {
    let view = node.view.borrow();
    let hosts = view.kind(Kind::Hosts).into_iter();
    let hosts = hosts.flat_map(|k| k.objects.values());
    hosts
        .filter(|o| o.name != node.settings.host)
        .map(|o| (o.name.clone(), o.revision))
        .collect()
}

async fn check<P: Platform>(
    node: &Rc<Node<P>>,
    host: &HostId,
    revision: Revision,
    silent: &mut BTreeMap<HostId, Duration>,
) {
    let now = clock::now();
    let recent = |at| now.saturating_sub(at) < SILENCE;
    if node.reports.last_asked(host).is_some_and(recent) {
        silent.remove(host);
        return;
    }
    let since = *silent.entry(host.clone()).or_insert(now);
    let answer = node.mesh.call(host, Call::Ping, PING_LIMIT).await;
    if answer.is_ok() {
        silent.remove(host);
        return;
    }
    let ended = matches!(answer, Err(CallError::Ended));
    let over = ended || now.saturating_sub(since) >= DARK_LIMIT;
    if !over {
        return;
    }
    silent.remove(host);
    match remove(node, host, revision, ended).await {
        Ok(()) => tracing::info!(event = 616, host, ended, "registration of a host removed"),
        Err(error) => tracing::debug!(event = 617, host, %error, "registration not removed"),
    }
}

/// Removes a registration. That of an ended process is marked as leaving first, since a change of
/// primary waits for a host that disappears and may still run.
async fn remove<P: Platform>(
    node: &Rc<Node<P>>,
    host: &HostId,
    mut revision: Revision,
    ended: bool,
) -> Result<(), StoreError> {
    let entry = node.view.borrow().host(host).cloned();
    if let Some(mut entry) = entry.filter(|e| ended && !e.leaving) {
        entry.leaving = true;
        let content = Content::Host(entry);
        let written = node.store.put(Kind::Hosts, host, Some(revision), &content);
        revision = written.await?.revision;
    }
    node.store.remove(Kind::Hosts, host, revision).await
}
