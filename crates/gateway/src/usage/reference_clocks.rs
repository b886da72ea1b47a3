//! Reads the wall clocks of some other hosts while this host is an aggregator.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::node::Node;
use crate::platform::Platform;
use crate::usage::usage_state::UsageState;

/// Interval at which the clocks are read.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Reads the clocks until the process ends.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    loop {
        if let Some(usage) = &node.usage
            && usage.is_aggregator()
        {
            let ranking = usage.ranking(&node);
            let others = ranking.iter().filter(|h| **h != node.settings.host);
            let calls = others.map(|host| read_clock(&node, usage, host));
            futures::future::join_all(calls).await;
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn read_clock<P: Platform>(node: &Rc<Node<P>>, usage: &UsageState, host: &str) {
    let sent = clock::now();
    let answer = node.mesh.call(host, Call::WallClock, CALL_TIMEOUT).await;
    let now = clock::now();
    // A host that does not answer is left out; the log has the loss of its connection.
    if let Ok(Response::WallClock { wall, age }) = answer {
        let read = sent + now.saturating_sub(sent) / 2;
        usage.clocks.borrow_mut().on_clock(host, wall, read);
        if let Some(windows) = usage.windows.borrow_mut().as_mut() {
            windows.on_process(now.saturating_sub(age));
        }
    }
}

/// Number of clocks that must have been read to know the time: more than half of those that are
/// compared. A host that is cut off from most others reports nothing.
pub fn required<P: Platform>(usage: &UsageState, node: &Node<P>) -> usize {
    usage.ranking(node).len() / 2 + 1
}
