//! Estimate of the rate at which one organisation's statements arrive on one host.

use std::time::Duration;

/// Time constant of the average. Short, so that share is returned soon after a load moves away.
const WINDOW: Duration = Duration::from_millis(250);
/// Margin above the average: arrivals are not even, and a host that owns exactly its average
/// rate builds a queue.
const MARGIN: f64 = 1.15;
/// Time in which waiting statements should be served.
const CATCH_UP: Duration = Duration::from_millis(250);

/// Exponentially weighted arrival rate plus waiting statements.
#[derive(Debug, Default)]
pub struct Demand {
    average: f64,
    at: Duration,
    waiting: u32,
}

impl Demand {
    pub fn on_arrival(&mut self, now: Duration) {
        self.decay(now);
        self.average += 1.0 / WINDOW.as_secs_f64();
    }

    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Rate that would serve the arrivals and the waiting statements.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.decay(now);
        self.average * MARGIN + f64::from(self.waiting) / CATCH_UP.as_secs_f64()
    }

    fn decay(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.at).as_secs_f64();
        self.average *= (-gap / WINDOW.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }
}
