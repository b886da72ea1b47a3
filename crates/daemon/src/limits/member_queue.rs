//! Queue for the connections of this host to one member of a database group.

use std::collections::BTreeMap;

use magnoliahatch_core::fair_queue::FairQueue;
use magnoliahatch_core::fair_queue::QueueOrder;
use magnoliahatch_core::fair_queue::Ticket;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// The fair queue of one member, its permits in use and the number of connections that the pool
/// reported as open.
#[derive(Debug)]
pub(crate) struct MemberQueue {
    pub(crate) queue: FairQueue,
    pub(crate) waiting: BTreeMap<Ticket, oneshot::Sender<()>>,
    pub(crate) held: BTreeMap<Ticket, CancellationToken>,
    pub(crate) allowance: watch::Sender<u32>,
    /// Number of open connections in the pool's last report.
    pub(crate) open: u32,
}

impl MemberQueue {
    pub(crate) fn new(order: QueueOrder) -> Self {
        Self {
            queue: FairQueue::new(order),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            allowance: watch::Sender::new(0),
            open: 0,
        }
    }

    /// Number of connections that are in use or have a session waiting for them.
    pub(crate) fn connection_demand(&self) -> u32 {
        u32::try_from(self.held.len() + self.queue.waiting()).unwrap_or(u32::MAX)
    }

    /// Revokes the newest permits in excess of `bound`.
    pub(crate) fn revoke(&self, bound: u32) {
        let bound = usize::try_from(bound).unwrap_or(usize::MAX);
        for token in self.held.values().skip(bound).filter(|t| !t.is_cancelled()) {
            warn!(
                event = 307,
                bound, "connection permit revoked because its share has expired"
            );
            token.cancel();
        }
    }
}
