//! Keeps the owners of rates up to date, and hands tokens over when one changes.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;

use crate::mesh::frame::Call;
use crate::model::handover::Handover;
use crate::node::Node;
use crate::platform::Platform;

/// Longest pause between two updates. A process that did nothing for much longer was suspended.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of a handover, far above the longest round trip between regions.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Follows the list of hosts and the configuration until the process ends.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let mut changed = node.changed.subscribe();
    let mut known = None;
    loop {
        node.quota.on_activity();
        let current = {
            let view = node.view.borrow();
            (
                view.hosts_changes(),
                view.configuration().map(|c| c.version),
            )
        };
        if known.replace(current) != Some(current) {
            update_owners(&node);
        }
        // The sender lives as long as the node.
        let _ = tokio::time::timeout(UPDATE_INTERVAL, changed.changed()).await;
    }
}

/// Records which rates this host owns, and hands the tokens of those over that it has just lost.
pub fn update_owners<P: Platform>(node: &Rc<Node<P>>) {
    for (owner, handovers) in node.quota.update_owners(node) {
        tokio::task::spawn_local(send(node.clone(), owner, handovers));
    }
}

async fn send<P: Platform>(node: Rc<Node<P>>, owner: HostId, handovers: Vec<Handover>) {
    let count = handovers.len();
    let answer = node
        .mesh
        .call(&owner, Call::Handover(handovers), CALL_TIMEOUT)
        .await;
    let delivered = answer.is_ok();
    tracing::info!(event = 733, owner, count, delivered, "rates handed over");
}
