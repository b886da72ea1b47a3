//! Estimate of the time until a statement is answered, from the statements served before it.

use std::time::Duration;

use crate::model::statement_kind::StatementKind;
use crate::policy::kind_counts::KindCounts;
use crate::policy::service_time::BOUND_DEVIATIONS;
use crate::policy::service_times::ServiceTimes;

/// Standard error of a moving average with weight 0.1, in standard deviations of its values:
/// sqrt(0.1 / 1.9). It is the same for all statements of a kind, so it does not average out.
const MEAN_ERROR: f64 = 0.23;

/// Sum of the service times of statements, in seconds.
#[derive(Debug)]
pub struct WorkAhead<'a> {
    times: &'a ServiceTimes,
    now: Duration,
    /// Expected sum.
    expected: f64,
    /// The part of the sum whose estimates can be trusted, with its deviation and variance.
    trusted: f64,
    deviation: f64,
    variance: f64,
}

impl<'a> WorkAhead<'a> {
    pub fn new(times: &'a ServiceTimes, now: Duration) -> Self {
        Self {
            times,
            now,
            expected: 0.0,
            trusted: 0.0,
            deviation: 0.0,
            variance: 0.0,
        }
    }

    /// Adds a fraction of some statements.
    pub fn add(&mut self, counts: &KindCounts, fraction: f64) {
        for (kind, count) in counts.iter() {
            self.add_kind(kind, f64::from(count) * fraction);
        }
    }

    pub fn add_kind(&mut self, kind: StatementKind, count: f64) {
        self.expected += self.times.expected(kind) * count;
        if let Some((mean, spread)) = self.times.get(kind).trusted(self.now) {
            self.trusted += mean * count;
            self.deviation += spread * count;
            self.variance += spread * spread * count;
        }
    }

    /// Adds statements of another organisation up to a sum of service times in seconds.
    pub fn add_up_to(&mut self, counts: &KindCounts, limit: f64) {
        let sum: f64 = counts
            .iter()
            .map(|(kind, count)| self.times.expected(kind) * f64::from(count))
            .sum();
        if sum > 0.0 && limit > 0.0 {
            self.add(counts, (limit / sum).min(1.0));
        }
    }

    /// Expected sum of the service times in seconds.
    pub fn expected(&self) -> f64 {
        self.expected
    }

    /// Expected time until this work is done by `parallel` slots.
    pub fn expected_wait(&self, parallel: f64) -> Duration {
        Duration::from_secs_f64(self.expected / parallel)
    }

    /// Time after which a statement that follows this work has its answer at the earliest. Work
    /// whose service time is not known well counts as none.
    pub fn earliest_end(&self, kind: StatementKind, parallel: f64) -> Duration {
        let (own, own_spread) = self.times.get(kind).trusted(self.now).unwrap_or_default();
        let independent = self.variance / (parallel * parallel) + own_spread * own_spread;
        let spread = independent.sqrt() + MEAN_ERROR * self.deviation / parallel;
        let end = self.trusted / parallel + own - BOUND_DEVIATIONS * spread;
        Duration::from_secs_f64(end.max(0.0))
    }
}
