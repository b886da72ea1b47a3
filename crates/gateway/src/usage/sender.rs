//! Sends this host's counts to the aggregators.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;

use crate::clock;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::model::usage_message::UsageMessage;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::usage_counts::Aggregator;
use crate::usage::receiver;

/// Interval at which counts are sent. A host that is killed takes the counts of one interval with it,
/// which is 5 % of a window of 5 s.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of a call. Short, since the counts are sent again.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of batches in one message. An aggregator that is new gets those of the last 30 s in three
/// messages.
const MAX_BATCHES: usize = 40;

/// Sends counts until the process ends.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let busy: Rc<RefCell<BTreeSet<HostId>>> = Rc::default();
    loop {
        tokio::time::sleep(SEND_INTERVAL).await;
        // An aggregator that does not answer must not delay the messages to the other one.
        for host in cut_batches(&node) {
            if !busy.borrow_mut().insert(host.clone()) {
                continue;
            }
            let (node, busy) = (node.clone(), busy.clone());
            tokio::task::spawn_local(async move {
                send_to(&node, &host).await;
                busy.borrow_mut().remove(&host);
            });
        }
    }
}

/// Sends the counts that the aggregators do not have yet.
pub async fn send_pending<P: Platform>(node: &Rc<Node<P>>) {
    let receivers = cut_batches(node);
    let calls = receivers.iter().map(|host| send_to(node, host));
    futures::future::join_all(calls).await;
}

/// Makes a batch of the latest counts. Returns the hosts that get the batches.
fn cut_batches<P: Platform>(node: &Rc<Node<P>>) -> Vec<HostId> {
    let Some(usage) = &node.usage else {
        return Vec::new();
    };
    let lost = usage.counts.borrow_mut().cut(clock::now());
    if lost > 0 {
        node.metrics.count_usage("usage_lost_statements", lost);
        tracing::warn!(event = 707, lost, "no aggregator took these counts");
    }
    let mut receivers = usage.aggregators(node);
    if let Some((_, holder)) = &*usage.holder.borrow()
        && !receivers.contains(holder)
    {
        receivers.push(holder.clone());
    }
    receivers
}

/// Sends one aggregator what it has not acknowledged.
async fn send_to<P: Platform>(node: &Rc<Node<P>>, host: &str) {
    let Some(usage) = &node.usage else { return };
    let own = host == node.settings.host;
    let incarnation = if own {
        Some(node.incarnation)
    } else {
        node.view.borrow().host(host).map(|h| h.incarnation)
    };
    let Some(incarnation) = incarnation else {
        return;
    };
    let aggregator: Aggregator = (host.to_owned(), incarnation);
    let batches = usage.counts.borrow().pending(&aggregator, MAX_BATCHES);
    if batches.is_empty() {
        return;
    }
    let numbers = batches.iter().map(|b| b.number).collect();
    let now = clock::now();
    let message = UsageMessage {
        incarnation: node.incarnation,
        started: now.saturating_sub(node.age()),
        sent: now,
        wall: clock::wall(),
        batches,
    };
    let answer = if own {
        Ok(receiver::on_message(node, host, &message))
    } else {
        let call = Call::Usage(Box::new(message));
        node.mesh.call(host, call, CALL_TIMEOUT).await
    };
    match answer {
        Ok(Response::Usage {
            incarnation,
            holder,
        }) if incarnation == aggregator.1 => {
            let mut counts = usage.counts.borrow_mut();
            counts.on_acknowledged(&aggregator, &numbers);
            usage.on_holder(holder.as_ref());
        }
        answer => tracing::debug!(event = 708, host, ?answer, "counts not acknowledged"),
    }
}
