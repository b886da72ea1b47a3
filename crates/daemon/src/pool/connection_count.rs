//! Number of a pool's open connections, kept within the host's allowance.

use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::MemberId;
use tokio::sync::Notify;

use crate::limits::Limits;
use crate::pool::connection_slot::ConnectionSlot;

/// Number of open connections to one member. Every change is reported to the limits, because only
/// the part of the allowance without open connections may be lent to other hosts.
#[derive(Debug)]
pub(crate) struct ConnectionCount {
    limits: Limits,
    database: DatabaseId,
    member: MemberId,
    open: Mutex<u32>,
    freed: Notify,
}

impl ConnectionCount {
    pub(crate) fn new(limits: Limits, database: DatabaseId, member: MemberId) -> Arc<Self> {
        Arc::new(Self {
            limits,
            database,
            member,
            open: Mutex::new(0),
            freed: Notify::new(),
        })
    }

    pub(crate) fn count(&self) -> u32 {
        *self.lock()
    }

    /// Counts one more connection. Returns `None` if that would exceed the allowance.
    pub(crate) fn reserve(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut open = self.lock();
        let accepted = self
            .limits
            .report_open(&self.database, &self.member, *open + 1);
        if !accepted {
            return None;
        }
        *open += 1;
        Some(ConnectionSlot::new(Arc::clone(self)))
    }

    /// Completes when a connection is closed after this call.
    pub(crate) fn freed(&self) -> impl Future<Output = ()> {
        self.freed.notified()
    }

    pub(crate) fn release(&self) {
        let mut open = self.lock();
        *open -= 1;
        self.limits.report_open(&self.database, &self.member, *open);
        drop(open);
        self.freed.notify_waiters();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, u32> {
        self.open.lock().expect("no holder of this lock panics")
    }
}
