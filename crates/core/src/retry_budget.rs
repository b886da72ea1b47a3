//! Budget for repeated statements of one organisation.

use std::time::Duration;

use crate::amount::Amount;
use crate::bucket::Bucket;

/// Retries allowed per first attempt. Above this, retries of a failing endpoint become the load
/// that keeps it failing.
const RATIO: f64 = 0.1;
/// Retries per second that are allowed even with hardly any first attempts.
const BASE_RATE: f64 = 1.0;
/// Retries that may be saved up.
const SAVED: f64 = 10.0;

/// Allows a fraction of the first attempts to be repeated.
#[derive(Debug)]
pub struct RetryBudget {
    base: Bucket,
    earned: f64,
}

impl RetryBudget {
    pub fn new(now: Duration) -> Self {
        let mut base = Bucket::empty(now);
        base.resize(Amount::new(BASE_RATE, 1.0), now);
        // Starts full, so that a failure soon after the start is bridged as well.
        Self {
            base,
            earned: SAVED,
        }
    }

    /// Records a first attempt.
    pub fn on_attempt(&mut self) {
        self.earned = (self.earned + RATIO).min(SAVED);
    }

    /// Whether one retry may be made now; if so, it is charged.
    pub fn on_retry(&mut self, now: Duration) -> bool {
        if self.earned >= 1.0 {
            self.earned -= 1.0;
            return true;
        }
        self.base.take(now)
    }
}
