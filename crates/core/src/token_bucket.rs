//! Token bucket with fractional tokens.

use std::time::Duration;

use crate::amount::Amount;

/// Tolerance when a token is taken, so that a rounding error does not make a statement wait for
/// one more refill.
const EPSILON: f64 = 1e-9;

/// Token bucket whose capacity is the burst of its share and whose refill rate is the rate of its
/// share.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    share: Amount,
    tokens: f64,
    updated_at: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket. It must not start full, because the previous holder of this share
    /// may have just spent its tokens.
    pub fn empty(now: Duration) -> Self {
        Self {
            share: Amount::ZERO,
            tokens: 0.0,
            updated_at: now,
        }
    }

    /// Creates a bucket with `tokens` tokens, capped at the burst of its share.
    pub fn with_tokens(share: Amount, tokens: f64, now: Duration) -> Self {
        Self {
            share,
            tokens: tokens.min(share.burst),
            updated_at: now,
        }
    }

    /// Adds the tokens that have accrued until `now`.
    pub fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.share.rate).min(self.share.burst);
        self.updated_at = self.updated_at.max(now);
    }

    /// Changes the share. A smaller burst discards the tokens above it; a larger burst adds none.
    pub fn resize(&mut self, share: Amount, now: Duration) {
        self.advance(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Takes one token and returns true, or returns false if there is none.
    pub fn take(&mut self, now: Duration) -> bool {
        self.advance(now);
        if self.tokens + EPSILON < 1.0 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    /// Time until one token is available at the current rate; `None` if the rate or the burst is
    /// too small for that ever to happen.
    pub fn time_until_token(&self) -> Option<Duration> {
        if self.share.burst + EPSILON < 1.0 || self.share.rate <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::try_from_secs_f64(missing / self.share.rate).ok()
    }

    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
