//! Tracks which channels use the primary of a service, and when the use must end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::position::LogPosition;
use tokio::sync::watch;

/// The number of channels by service, the records that this host was told to stop using, and the
/// last commits that it acknowledged.
#[derive(Debug, Default)]
pub struct PrimaryUse {
    counts: RefCell<BTreeMap<String, watch::Sender<u32>>>,
    blocked: RefCell<BTreeMap<String, Revision>>,
    acknowledged: RefCell<BTreeMap<String, LogPosition>>,
}

/// The use of a primary by one channel. It ends when this is dropped.
#[derive(Debug)]
pub struct PrimaryUseGuard {
    owner: Rc<PrimaryUse>,
    service: String,
}

impl PrimaryUse {
    pub fn begin(self: &Rc<Self>, service: &str) -> PrimaryUseGuard {
        self.update_count(service, |n| *n += 1);
        PrimaryUseGuard {
            owner: self.clone(),
            service: service.to_owned(),
        }
    }

    /// Blocks the use of records up to this revision.
    pub fn block(&self, service: &str, revision: Revision) {
        let mut blocked = self.blocked.borrow_mut();
        let known = blocked.entry(service.to_owned()).or_default();
        *known = (*known).max(revision);
    }

    /// Revision of the last record that this host was told to stop using; 0 if there is none.
    pub fn blocked(&self, service: &str) -> Revision {
        let blocked = self.blocked.borrow();
        blocked.get(service).copied().unwrap_or_default()
    }

    pub fn is_blocked(&self, service: &str, revision: Revision) -> bool {
        let blocked = self.blocked.borrow();
        blocked.get(service).is_some_and(|b| revision <= *b)
    }

    /// Records a commit that is about to be acknowledged to a client.
    pub fn record_acknowledged(&self, service: &str, position: LogPosition) {
        let mut acknowledged = self.acknowledged.borrow_mut();
        let known = acknowledged.entry(service.to_owned()).or_default();
        *known = (*known).max(position);
    }

    /// Position of the last commit of a service that this host acknowledged.
    pub fn last_acknowledged(&self, service: &str) -> Option<LogPosition> {
        self.acknowledged.borrow().get(service).copied()
    }

    /// Waits until no channel uses the primary.
    pub async fn wait_unused(&self, service: &str) {
        let receiver = {
            let counts = self.counts.borrow();
            counts.get(service).map(watch::Sender::subscribe)
        };
        if let Some(mut receiver) = receiver {
            // Cannot fail: senders are never removed.
            let _ = receiver.wait_for(|n| *n == 0).await;
        }
    }

    fn update_count(&self, service: &str, change: impl FnOnce(&mut u32)) {
        let mut counts = self.counts.borrow_mut();
        let count = counts
            .entry(service.to_owned())
            .or_insert_with(|| watch::channel(0).0);
        count.send_modify(change);
    }
}

impl Drop for PrimaryUseGuard {
    fn drop(&mut self) {
        self.owner
            .update_count(&self.service, |n| *n = n.saturating_sub(1));
    }
}
