//! Service time of one kind of statement at one member.

use std::time::Duration;

/// Weight of a new measurement in the moving averages; about the last 20 measurements count.
const SMOOTHING: f64 = 0.1;
/// Measurements from which the estimate is used to refuse statements; as many as the averages hold.
const MIN_MEASUREMENTS: u32 = 20;
/// An older estimate is not used, and is forgotten at the next measurement: the member's load or
/// caches may have changed. A member with a queue is measured many times within this time.
const MAX_AGE: Duration = Duration::from_secs(5);
/// Standard deviation of normally distributed values in units of their mean deviation.
const STANDARD_PER_MEAN_DEVIATION: f64 = 1.25;
/// Least spread in proportion to the mean, so that a few equal measurements do not look exact.
const MIN_RELATIVE_SPREAD: f64 = 0.1;
/// Standard deviations between a mean and its bounds. With two of them, about one value
/// in 40 is beyond each bound if the values are normally distributed.
pub const BOUND_DEVIATIONS: f64 = 2.0;

/// Moving averages of a service time and of its deviation from the mean, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean: f64,
    deviation: f64,
    count: u32,
    last: Duration,
}

impl ServiceTime {
    pub fn record(&mut self, used: Duration, now: Duration) {
        if now.saturating_sub(self.last) > MAX_AGE {
            self.count = 0;
        }
        let used = used.as_secs_f64();
        self.count = self.count.saturating_add(1);
        self.last = now;
        if self.count == 1 {
            self.mean = used;
            self.deviation = 0.0;
            return;
        }
        // The first measurements count equally.
        let weight = SMOOTHING.max(1.0 / f64::from(self.count));
        let error = used - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
    }

    /// Mean in seconds; `None` before the first measurement.
    pub fn mean(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean)
    }

    /// Mean and standard deviation in seconds, if the estimate is good enough to refuse a statement.
    pub fn trusted(&self, now: Duration) -> Option<(f64, f64)> {
        if self.count < MIN_MEASUREMENTS || now.saturating_sub(self.last) > MAX_AGE {
            return None;
        }
        let spread = self.deviation * STANDARD_PER_MEAN_DEVIATION;
        Some((self.mean, spread.max(self.mean * MIN_RELATIVE_SPREAD)))
    }

    /// Time that a statement takes at least; zero if the estimate cannot be trusted.
    pub fn lower_bound(&self, now: Duration) -> Duration {
        let (mean, spread) = self.trusted(now).unwrap_or_default();
        Duration::from_secs_f64((mean - BOUND_DEVIATIONS * spread).max(0.0))
    }
    /// Time in which nearly all statements are answered; zero if the estimate cannot be trusted.
    pub fn upper_bound(&self, now: Duration) -> Duration {
        let (mean, spread) = self.trusted(now).unwrap_or_default();
        Duration::from_secs_f64(mean + BOUND_DEVIATIONS * spread)
    }
}
