//! Place in the count of open connections.

use std::sync::Arc;

use crate::pool::open_count::OpenCount;

/// Counts one open connection until it is dropped, also when opening is abandoned.
#[derive(Debug)]
pub(crate) struct OpenSlot(Arc<OpenCount>);

impl OpenSlot {
    pub(crate) fn new(open: Arc<OpenCount>) -> Self {
        Self(open)
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.release();
    }
}
