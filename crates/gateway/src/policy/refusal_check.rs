//! Finds early refusals that turn out to have been wrong.

use std::collections::VecDeque;
use std::time::Duration;

/// Refusals that are checked at a time; the oldest are dropped. As many as the queue can hold.
const MAX_REFUSALS: usize = 256;

/// Statements that were refused because of their expected wait.
#[derive(Debug, Default)]
pub struct RefusalCheck {
    /// Latest times at which they could have been sent and answered in time.
    latest_starts: VecDeque<Duration>,
    wrong: u64,
}

impl RefusalCheck {
    pub fn on_refused(&mut self, latest_start: Duration) {
        if self.latest_starts.len() >= MAX_REFUSALS {
            self.latest_starts.pop_front();
        }
        self.latest_starts.push_back(latest_start);
    }

    /// Records that nothing waits and `slots` are free. As many refused statements could have run.
    pub fn on_idle(&mut self, slots: u32, now: Duration) {
        if self.latest_starts.is_empty() {
            return;
        }
        self.latest_starts.retain(|latest| *latest > now);
        let wrong = self.latest_starts.len().min(slots as usize);
        self.latest_starts.drain(..wrong);
        self.wrong += wrong as u64;
    }

    /// Number of wrong refusals since the last call.
    pub fn take(&mut self) -> u64 {
        std::mem::take(&mut self.wrong)
    }
}
