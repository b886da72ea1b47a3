//! Count of open connections.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Counts one open connection until it is dropped, also when opening is abandoned.
#[derive(Debug)]
pub(crate) struct OpenSlot(Arc<AtomicU32>);

impl OpenSlot {
    pub(crate) fn new(open: &Arc<AtomicU32>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
