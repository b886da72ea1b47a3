//! Open-loop arrival times of one organisation's operations.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::organisation::LoadStep;
use crate::load::organisation::OrganisationPlan;

/// Arrival times of one organisation's operations: a Poisson process whose rate follows the
/// offered load, plus the bursts. The times do not depend on when operations are answered.
#[derive(Debug)]
pub struct Arrivals {
    steps: Vec<LoadStep>,
    /// Operations per second when the step's multiple is 1.
    base_rate: f64,
    /// Operations of the current step's burst that are yet to be returned.
    burst_remaining: u32,
    statements_per_operation: f64,
    current: usize,
    at: Duration,
    end: Duration,
    random: StdRng,
}

impl Arrivals {
    /// Arrivals until `end`.
    pub fn new(plan: &OrganisationPlan, end: Duration, random: StdRng) -> Self {
        let mut steps = plan.offered.clone();
        steps.sort_by_key(|step| step.from_ms);
        let statements_per_operation = plan.mean_statements();
        let mut arrivals = Self {
            base_rate: plan.rate / statements_per_operation,
            steps,
            burst_remaining: 0,
            statements_per_operation,
            current: 0,
            at: Duration::ZERO,
            end,
            random,
        };
        arrivals.enter_step(0);
        arrivals
    }

    fn enter_step(&mut self, index: usize) {
        self.current = index;
        if let Some(step) = self.steps.get(index) {
            self.at = self.at.max(Duration::from_millis(step.from_ms));
            self.burst_remaining = (f64::from(step.burst) / self.statements_per_operation) as u32;
        }
    }

    fn step_start(&self, index: usize) -> Duration {
        self.steps
            .get(index)
            .map_or(self.end, |step| Duration::from_millis(step.from_ms))
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        loop {
            let step = *self.steps.get(self.current)?;
            if self.at >= self.end {
                return None;
            }
            if self.burst_remaining > 0 {
                self.burst_remaining -= 1;
                return Some(self.at);
            }
            let next = self.step_start(self.current + 1);
            let rate = self.base_rate * step.multiple;
            if rate > 0.0 {
                // The random number x is in [0, 1), so 1 - x is never 0, whose logarithm is infinite.
                let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
                let at = self.at + Duration::from_secs_f64(gap);
                if at < next.min(self.end) {
                    self.at = at;
                    return Some(at);
                }
            }
            // A Poisson process is memoryless, so the next gap may be drawn anew with the new rate.
            self.at = next;
            self.enter_step(self.current + 1);
        }
    }
}
