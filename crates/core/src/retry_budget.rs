//! Limits how many statements of one organisation are retried.

use std::time::Duration;

use crate::amount::Amount;
use crate::token_bucket::TokenBucket;

/// Retries allowed per first attempt. With a higher ratio, the retries can overload a failing
/// endpoint so that it does not recover.
const RETRY_RATIO: f64 = 0.1;
/// Retries per second that are always allowed, for organisations with few first attempts.
const BASE_RATE: f64 = 1.0;
/// Maximum number of retries earned but not yet used.
const MAX_EARNED: f64 = 10.0;

/// Allows retries for a fraction of the first attempts, and a small fixed rate beside that.
#[derive(Debug)]
pub struct RetryBudget {
    base: TokenBucket,
    earned: f64,
}

impl RetryBudget {
    pub fn new(now: Duration) -> Self {
        let mut base = TokenBucket::empty(now);
        base.resize(Amount::new(BASE_RATE, 1.0), now);
        // Starts full so that statements can be retried after a failure soon after startup.
        Self {
            base,
            earned: MAX_EARNED,
        }
    }

    /// Records a first attempt.
    pub fn on_attempt(&mut self) {
        self.earned = (self.earned + RETRY_RATIO).min(MAX_EARNED);
    }

    /// Charges one retry to the budget; false if the budget is exhausted.
    pub fn on_retry(&mut self, now: Duration) -> bool {
        if self.earned >= 1.0 {
            self.earned -= 1.0;
            return true;
        }
        self.base.take(now)
    }
}
