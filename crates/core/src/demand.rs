//! Estimate of the rate at which one organisation's statements arrive on one host.

use std::time::Duration;

/// Time constant of the moving average. It is short so that a host returns borrowed share soon
/// after its load moves to another host.
const TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Factor above the average arrival rate. Arrivals are uneven, and a queue builds up on a host
/// whose share is exactly the average.
const HEADROOM: f64 = 1.15;
/// Time within which the waiting statements are to be served.
const BACKLOG_DRAIN_TIME: Duration = Duration::from_millis(250);

/// Exponentially weighted moving average of the arrival rate, and the number of waiting statements.
#[derive(Debug, Default)]
pub struct Demand {
    arrival_rate: f64,
    updated_at: Duration,
    waiting: u32,
}

impl Demand {
    pub fn on_arrival(&mut self, now: Duration) {
        self.decay(now);
        self.arrival_rate += 1.0 / TIME_CONSTANT.as_secs_f64();
    }

    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Rate needed to serve new arrivals and drain the waiting statements.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.arrival_rate * HEADROOM + f64::from(self.waiting) / BACKLOG_DRAIN_TIME.as_secs_f64()
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.arrival_rate *= (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        self.updated_at = self.updated_at.max(now);
    }
}
