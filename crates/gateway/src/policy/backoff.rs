//! Pauses between attempts at a call that fails.

use std::time::Duration;

/// Pause after the first failure, before jitter. A lost answer is made up for at once.
const FIRST: Duration = Duration::from_millis(150);
/// Longest pause. A store that turns a host away is asked again within this time; the host's own
/// question for the revision notices the return earlier.
const LONGEST: Duration = Duration::from_millis(1200);
/// Pauses vary by this part, so that hosts do not call at the same moment.
const JITTER: f64 = 0.5;

/// Pauses that double with each failure in a row.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Whether the last attempt failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a success; true if the last attempt had failed.
    pub fn on_success(&mut self) -> bool {
        std::mem::take(&mut self.failures) > 0
    }

    /// Records a failure and returns the pause; `random` lies between 0 and 1.
    pub fn on_failure(&mut self, random: f64) -> Duration {
        let pause = FIRST.saturating_mul(1 << self.failures.min(8)).min(LONGEST);
        self.failures += 1;
        pause.mul_f64(1.0 - JITTER + 2.0 * JITTER * random)
    }
}
