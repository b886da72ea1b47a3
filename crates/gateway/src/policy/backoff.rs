//! Exponential backoff between attempts of a failing call.

use std::time::Duration;

/// Pause after the first failure, before jitter. Short, so that a single lost answer costs little.
const INITIAL_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause before jitter. A store that refuses a host's calls is retried within this time;
/// the host's separate poll of the store's revision usually notices earlier that it is back.
const MAX_PAUSE: Duration = Duration::from_millis(1200);
/// Pauses vary by this fraction, so that hosts do not retry at the same moment.
const JITTER: f64 = 0.5;

/// Computes pauses that double with each consecutive failure.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a success; returns whether the previous attempt had failed.
    pub fn on_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Records a failure and returns the pause before the next attempt; `random` is between 0 and
    /// 1.
    pub fn on_failure(&mut self, random: f64) -> Duration {
        let pause = INITIAL_PAUSE
            .saturating_mul(1 << self.failures.min(8))
            .min(MAX_PAUSE);
        self.failures += 1;
        pause.mul_f64(1.0 - JITTER + 2.0 * JITTER * random)
    }
}
