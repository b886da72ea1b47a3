//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Upper limit of the first delay. The first retry is quick because the failure may only concern
/// one silent connection.
const INITIAL_LIMIT: Duration = Duration::from_millis(100);
/// Upper limit of all delays; bounds the time from the store's recovery to the next attempt.
const MAX_LIMIT: Duration = Duration::from_secs(5);

/// Doubling delays with jitter, so that not all hosts retry at the same moment.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt, chosen at random between
    /// half of the limit and the limit. The limit doubles with each failure.
    pub fn delay(&mut self) -> Duration {
        let limit = INITIAL_LIMIT
            .saturating_mul(1 << self.failures.min(10))
            .min(MAX_LIMIT);
        self.failures = self.failures.saturating_add(1);
        limit.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
