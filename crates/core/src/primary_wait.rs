//! Limits for statements that wait to be sent while a primary is being replaced.

use std::time::Duration;

/// Limits the number of statements that wait for a primary, and the time for which they wait.
#[derive(Debug)]
pub struct PrimaryWaitLimit {
    max_waiting: usize,
    max_wait: Duration,
    waiting: usize,
}

impl PrimaryWaitLimit {
    pub fn new(max_waiting: usize, max_wait: Duration) -> Self {
        Self {
            max_waiting,
            max_wait,
            waiting: 0,
        }
    }

    /// Registers a statement and returns the time until which it may wait; `None` if too many
    /// statements are waiting.
    pub fn on_wait(&mut self, now: Duration, deadline: Duration) -> Option<Duration> {
        if self.waiting >= self.max_waiting {
            return None;
        }
        self.waiting += 1;
        Some(deadline.min(now + self.max_wait))
    }

    /// Unregisters a statement that continues or is refused.
    pub fn on_wait_end(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Number of statements that are waiting.
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}
