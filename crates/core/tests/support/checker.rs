//! Checks that the admissions of all hosts stay within rate x window + burst in every window.

use std::time::Duration;

use magnoliahatch_core::amount::Amount;

/// Token bucket that starts full. Its tokens never become negative if and only if every window is
/// within the limit.
#[derive(Debug)]
pub struct Checker {
    limit: Amount,
    tokens: f64,
    updated_at: Duration,
}

impl Checker {
    pub fn new(limit: Amount) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            updated_at: Duration::ZERO,
        }
    }

    /// Changes the limit; a larger burst adds no tokens.
    pub fn set_limit(&mut self, limit: Amount, now: Duration) {
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
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.limit.rate).min(self.limit.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
