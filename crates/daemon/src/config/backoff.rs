//! Jittered delays between attempts.

use std::time::Duration;

use rand::Rng;

/// Limit of the first delay. The first retry comes soon, because a failed call may only have met
/// one silent connection.
const FIRST: Duration = Duration::from_millis(100);
/// Bounds the time from the store's recovery to the next attempt.
const LONGEST: Duration = Duration::from_secs(5);

/// Doubling delays with jitter, so that hosts don't all return to the store at once.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and draws the delay before the next attempt: from half of the limit,
    /// which doubles with each failure, up to the limit.
    pub fn delay(&mut self) -> Duration {
        let limit = FIRST
            .saturating_mul(1 << self.failures.min(10))
            .min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        limit.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
