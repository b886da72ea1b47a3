//! How recent the configuration is.

use std::time::Instant;

/// Times on this host's monotonic clock. Each is when a successful call was sent, not when its
/// answer was read: the answer may have waited while this process was paused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stamp {
    /// The store was last reached by this host.
    pub reached: Option<Instant>,
    /// The view was last known to be current, from the store or from a peer that reached it.
    pub current: Option<Instant>,
}

impl Stamp {
    /// Records a call to the store, sent at `sent`, after which the view is current.
    pub(super) fn record_store(&mut self, sent: Instant) {
        self.reached = self.reached.max(Some(sent));
        self.record_current(sent);
    }

    /// Records that the view was current at a time.
    pub(super) fn record_current(&mut self, at: Instant) {
        self.current = self.current.max(Some(at));
    }
}
