//! Statements that wait, unsent, while a primary is replaced.

use std::time::Duration;

/// Bounds how many statements wait for a primary and for how long.
#[derive(Debug)]
pub struct Hold {
    limit: usize,
    longest: Duration,
    waiting: usize,
}

impl Hold {
    pub fn new(limit: usize, longest: Duration) -> Self {
        Self {
            limit,
            longest,
            waiting: 0,
        }
    }

    /// A statement starts to wait: until when, or none if too many wait already.
    pub fn on_wait(&mut self, now: Duration, deadline: Duration) -> Option<Duration> {
        if self.waiting >= self.limit {
            return None;
        }
        self.waiting += 1;
        Some(deadline.min(now + self.longest))
    }

    /// A statement that waited goes on or is refused.
    pub fn on_leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Number of waiting statements.
    pub fn waiting(&self) -> usize {
        self.waiting
    }
}
