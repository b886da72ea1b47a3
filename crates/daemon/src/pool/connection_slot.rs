//! Guard that counts one open connection.

use std::sync::Arc;

use crate::drains::WorkGuard;
use crate::pool::connection_count::ConnectionCount;

/// Counts one open connection until it is dropped, including when opening is cancelled.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    open: Arc<ConnectionCount>,
    work: Option<WorkGuard>,
}

impl ConnectionSlot {
    pub(crate) fn new(open: Arc<ConnectionCount>) -> Self {
        Self { open, work: None }
    }

    /// Counts the connection as work at its member, which a drain waits for.
    pub(crate) fn set_work(&mut self, work: WorkGuard) {
        self.work = Some(work);
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open.release();
    }
}
