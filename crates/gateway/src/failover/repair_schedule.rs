//! Decides when this host repairs the record of a service that came back from a copy.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::failover::record_repair;
use crate::node::Node;
use crate::platform::Platform;

/// Time that a host which stands by leaves to each one before it, which may not reach the store.
const STANDBY_TIME: Duration = Duration::from_secs(1);

/// The attempts of this host for one service.
#[derive(Debug, Default)]
pub struct RepairSchedule {
    /// When the record was found to need a repair.
    since: Option<Duration>,
    /// Earliest time of the next attempt.
    next: Duration,
}

impl RepairSchedule {
    /// Repairs the record if it needs that and it is this host's turn by its `rank` among those that
    /// monitor the service. Two hosts that try at once write one record, since the write is
    /// conditional. Returns whether the record needed a repair.
    pub async fn run<P: Platform>(
        &mut self,
        node: &Rc<Node<P>>,
        service: &str,
        rank: usize,
    ) -> bool {
        if !node.view.borrow().is_primary_restored(service) {
            self.since = None;
            return false;
        }
        let now = clock::now();
        let since = *self.since.get_or_insert(now);
        let delay = STANDBY_TIME * u32::try_from(rank).unwrap_or(u32::MAX);
        if now >= self.next && now >= since + delay {
            let pause = record_repair::run(node, service).await;
            self.next = clock::now() + pause;
        }
        true
    }
}
