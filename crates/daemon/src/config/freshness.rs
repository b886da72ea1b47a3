//! How recent the configuration on this host is.

use std::time::Instant;

/// Send times of successful calls, on this host's monotonic clock. The time at which an answer was
/// read would be too late, since the process may have been paused while the answer waited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigFreshness {
    /// Last successful call from this host to the store.
    pub reached: Option<Instant>,
    /// Last time at which the store, or a peer that reached it, confirmed the view as current.
    pub current: Option<Instant>,
}

impl ConfigFreshness {
    /// Records a store call that was sent at `sent` and brought the view up to date.
    pub(super) fn record_store_call(&mut self, sent: Instant) {
        self.reached = self.reached.max(Some(sent));
        self.record_current(sent);
    }

    /// Records that the view was current at `at`.
    pub(super) fn record_current(&mut self, at: Instant) {
        self.current = self.current.max(Some(at));
    }
}
