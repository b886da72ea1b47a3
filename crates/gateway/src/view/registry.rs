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
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;

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
    if node.last_asked(host).is_some_and(recent) {
        silent.remove(host);
        return;
    }
    let since = *silent.entry(host.clone()).or_insert(now);
    let over = match node.mesh.call(host, Call::Ping, PING_LIMIT).await {
        Ok(_) => {
            silent.remove(host);
            return;
        }
        Err(CallError::Ended) => true,
        Err(CallError::Unreachable | CallError::Lost) => now.saturating_sub(since) >= DARK_LIMIT,
    };
    if !over {
        return;
    }
    silent.remove(host);
    match node.store.remove(Kind::Hosts, host, revision).await {
        Ok(()) => tracing::info!(event = 616, host, "registration of an ended host removed"),
        Err(error) => tracing::debug!(event = 617, host, %error, "registration not removed"),
    }
}
