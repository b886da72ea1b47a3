//! Token bucket with a contract's rate and burst.

use std::time::Duration;

/// Token bucket that classifies load as inside or outside a contract. Load outside it consumes no
/// tokens, so an organisation that exceeds its contract still has its full rate counted as inside.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            updated_at: Duration::ZERO,
        }
    }

    /// Consumes one token per statement at `now` and returns true if the bucket holds enough.
    pub fn try_take(&mut self, now: Duration, statements: u32) -> bool {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        let cost = f64::from(statements);
        let inside = self.tokens >= cost;
        if inside {
            self.tokens -= cost;
        }
        inside
    }
}
