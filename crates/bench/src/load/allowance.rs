//! A contract's rate and burst as its callers may count on them.

use std::time::Duration;

/// Token bucket that tells whether offered load is inside a contract. Load outside it takes
/// nothing, so an organisation that offers too much still has its full rate inside.
#[derive(Debug)]
pub struct Allowance {
    rate: f64,
    burst: f64,
    level: f64,
    at: Duration,
}

impl Allowance {
    /// Starts full.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: Duration::ZERO,
        }
    }

    /// Takes `statements` at `now` if they are inside the contract.
    pub fn take(&mut self, now: Duration, statements: u32) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        let cost = f64::from(statements);
        let inside = self.level >= cost;
        if inside {
            self.level -= cost;
        }
        inside
    }
}
