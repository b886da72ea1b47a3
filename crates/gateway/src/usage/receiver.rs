//! Receives the counts of other hosts.

use crate::clock;
use crate::mesh::frame::Response;
use crate::model::usage_message::UsageMessage;
use crate::node::Node;
use crate::platform::Platform;

/// Adds the counts of a host to the windows and acknowledges them.
pub fn on_message<P: Platform>(node: &Node<P>, from: &str, message: &UsageMessage) -> Response {
    let Some(usage) = &node.usage else {
        return Response::Done;
    };
    let now = clock::now();
    usage.open_windows(node);
    let mut clocks = usage.clocks.borrow_mut();
    clocks.on_clock(&node.settings.host, clock::wall(), now);
    let late = match usage.windows.borrow_mut().as_mut() {
        Some(windows) => {
            let read = windows.on_sent(from, message, now);
            clocks.on_clock(from, message.wall, read);
            let lead = clocks.lead(now).unwrap_or_default();
            windows.receive(from, message, lead)
        }
        None => 0,
    };
    if late > 0 {
        node.metrics.count_usage("usage_late_statements", late);
        tracing::warn!(event = 706, from, late, "counts came after their report");
    }
    Response::Usage {
        incarnation: node.incarnation,
        holder: usage.holder.borrow().clone(),
    }
}
