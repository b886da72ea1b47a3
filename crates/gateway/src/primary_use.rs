//! Counts the channels that use a service's primary.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::position::LogPosition;
use tokio::sync::watch;

/// Channels by service, the records that this host was asked to stop using, and the last commits
/// that it acknowledged.
#[derive(Debug, Default)]
pub struct PrimaryUse {
    counts: RefCell<BTreeMap<String, watch::Sender<u32>>>,
    blocked: RefCell<BTreeMap<String, Revision>>,
    acknowledged: RefCell<BTreeMap<String, LogPosition>>,
}

/// One channel's use; ends when dropped.
#[derive(Debug)]
pub struct UseGuard {
    owner: Rc<PrimaryUse>,
    service: String,
}

impl PrimaryUse {
    pub fn enter(self: &Rc<Self>, service: &str) -> UseGuard {
        self.count(service, |n| *n += 1);
        UseGuard {
            owner: self.clone(),
            service: service.to_owned(),
        }
    }

    /// From now on only a record newer than this revision may be used.
    pub fn block(&self, service: &str, revision: Revision) {
        let mut blocked = self.blocked.borrow_mut();
        let known = blocked.entry(service.to_owned()).or_default();
        *known = (*known).max(revision);
    }

    pub fn is_blocked(&self, service: &str, revision: Revision) -> bool {
        let blocked = self.blocked.borrow();
        blocked.get(service).is_some_and(|b| revision <= *b)
    }

    /// Records a commit that is about to be acknowledged to a client.
    pub fn acknowledge(&self, service: &str, position: LogPosition) {
        let mut acknowledged = self.acknowledged.borrow_mut();
        let known = acknowledged.entry(service.to_owned()).or_default();
        *known = (*known).max(position);
    }

    /// Last commit of a service that this host acknowledged.
    pub fn acknowledged(&self, service: &str) -> Option<LogPosition> {
        self.acknowledged.borrow().get(service).copied()
    }

    /// Waits until no channel uses the primary.
    pub async fn drained(&self, service: &str) {
        let receiver = {
            let counts = self.counts.borrow();
            counts.get(service).map(watch::Sender::subscribe)
        };
        if let Some(mut receiver) = receiver {
            // The sender lives as long as the process.
            let _ = receiver.wait_for(|n| *n == 0).await;
        }
    }

    fn count(&self, service: &str, change: impl FnOnce(&mut u32)) {
        let mut counts = self.counts.borrow_mut();
        let count = counts
            .entry(service.to_owned())
            .or_insert_with(|| watch::channel(0).0);
        count.send_modify(change);
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.owner
            .count(&self.service, |n| *n = n.saturating_sub(1));
    }
}
