//! Open-loop arrivals of one organisation.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::load::organisation::Offer;
use crate::load::organisation::OrganisationPlan;

/// Arrival times of one organisation's operations: a Poisson process whose rate follows the
/// offered load, plus the bursts. The times do not depend on the answers.
#[derive(Debug)]
pub struct Arrivals {
    offers: Vec<Offer>,
    /// Operations per second at a multiple of 1.
    unit: f64,
    /// Operations of a burst that are still due at the start of the current offer.
    burst: u32,
    statements: f64,
    current: usize,
    at: Duration,
    end: Duration,
    random: StdRng,
}

impl Arrivals {
    /// Arrivals until `end`.
    pub fn new(plan: &OrganisationPlan, end: Duration, random: StdRng) -> Self {
        let mut offers = plan.offered.clone();
        offers.sort_by_key(|offer| offer.from_ms);
        let statements = plan.statements();
        let mut arrivals = Self {
            unit: plan.rate / statements,
            offers,
            burst: 0,
            statements,
            current: 0,
            at: Duration::ZERO,
            end,
            random,
        };
        arrivals.enter(0);
        arrivals
    }

    fn enter(&mut self, index: usize) {
        self.current = index;
        if let Some(offer) = self.offers.get(index) {
            self.at = self.at.max(Duration::from_millis(offer.from_ms));
            self.burst = (f64::from(offer.burst) / self.statements) as u32;
        }
    }

    fn start_of(&self, index: usize) -> Duration {
        self.offers
            .get(index)
            .map_or(self.end, |offer| Duration::from_millis(offer.from_ms))
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        loop {
            let offer = *self.offers.get(self.current)?;
            if self.at >= self.end {
                return None;
            }
            if self.burst > 0 {
                self.burst -= 1;
                return Some(self.at);
            }
            let next = self.start_of(self.current + 1);
            let rate = self.unit * offer.multiple;
            if rate > 0.0 {
                // 1 - x excludes 0, whose logarithm is infinite.
                let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
                let at = self.at + Duration::from_secs_f64(gap);
                if at < next.min(self.end) {
                    self.at = at;
                    return Some(at);
                }
            }
            // The process has no memory, so it may start afresh with the new rate.
            self.at = next;
            self.enter(self.current + 1);
        }
    }
}
