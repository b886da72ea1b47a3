//! Limits the retries of one organisation at one member that do not succeed.

use std::time::Duration;

/// Retries allowed per success. Same as in `magnoliahatch_core::retry_budget`: with a higher ratio,
/// the retries can overload a failing member so that it does not recover.
const RETRY_RATIO: f64 = 0.1;
/// Retries per second that are always allowed, for organisations with few statements; as in core.
const BASE_RATE: f64 = 1.0;
/// Maximum number of retries that are allowed and not yet used; as in core.
const MAX_RETRIES: f64 = 10.0;
/// Tolerance for rounding errors.
const EPSILON: f64 = 1e-9;

/// Allows retries for a fraction of the successes, and a small fixed rate beside that. A retry that
/// succeeds is returned to the budget: it is work that the member can do.
#[derive(Debug)]
pub struct RetryBudget {
    retries: f64,
    updated_at: Duration,
}

impl RetryBudget {
    /// Starts full so that statements can be tried again after a failure soon after a start.
    pub fn new(now: Duration) -> Self {
        Self {
            retries: MAX_RETRIES,
            updated_at: now,
        }
    }

    /// Records that the member answered a statement.
    pub fn on_success(&mut self, retry: bool) {
        let earned = if retry { 1.0 } else { RETRY_RATIO };
        self.retries = (self.retries + earned).min(MAX_RETRIES);
    }

    /// Charges a retry; false if the budget is exhausted.
    pub fn on_retry(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.retries = (self.retries + elapsed * BASE_RATE).min(MAX_RETRIES);
        self.updated_at = self.updated_at.max(now);
        if self.retries + EPSILON < 1.0 {
            return false;
        }
        self.retries = (self.retries - 1.0).max(0.0);
        true
    }

    /// When a retry was last charged or refused.
    pub fn updated_at(&self) -> Duration {
        self.updated_at
    }
}
