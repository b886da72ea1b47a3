//! Checks a merged history against rate x window + burst over every window.

use std::time::Duration;

use magnoliahatch_core::amount::Amount;

/// A bucket that starts full and never goes negative exactly if every window is within bounds.
#[derive(Debug)]
pub struct Checker {
    limit: Amount,
    tokens: f64,
    at: Duration,
}

impl Checker {
    pub fn new(limit: Amount) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            at: Duration::ZERO,
        }
    }

    /// Changes the limit; a larger burst adds no tokens.
    pub fn set(&mut self, limit: Amount, now: Duration) {
        self.advance(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
    }

    pub fn admit(&mut self, now: Duration) -> Result<(), String> {
        self.advance(now);
        self.tokens -= 1.0;
        if self.tokens < -1e-6 {
            return Err(format!(
                "at {now:?} the history exceeds {:?} by {} statements",
                self.limit, -self.tokens
            ));
        }
        Ok(())
    }

    fn advance(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + gap * self.limit.rate).min(self.limit.burst);
        self.at = self.at.max(now);
    }
}
