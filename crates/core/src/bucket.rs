//! Token bucket with fractional tokens.

use std::time::Duration;

use crate::amount::Amount;

/// Tolerance when a token is taken; rounding must not delay a statement by a whole refill.
const EPSILON: f64 = 1e-9;

/// Holds at most the burst of its share and fills at the rate of its share.
#[derive(Debug, Clone)]
pub struct Bucket {
    share: Amount,
    tokens: f64,
    at: Duration,
}

impl Bucket {
    /// Starts empty: the previous holder of this share may have spent its tokens just before.
    pub fn empty(now: Duration) -> Self {
        Self {
            share: Amount::ZERO,
            tokens: 0.0,
            at: now,
        }
    }

    /// Starts with some tokens, at most the burst of its share.
    pub fn holding(share: Amount, tokens: f64, now: Duration) -> Self {
        Self {
            share,
            tokens: tokens.min(share.burst),
            at: now,
        }
    }

    /// Fills up to `now`.
    pub fn advance(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + gap * self.share.rate).min(self.share.burst);
        self.at = self.at.max(now);
    }

    /// Changes the share. Tokens above a smaller burst are dropped; a larger burst adds none.
    pub fn resize(&mut self, share: Amount, now: Duration) {
        self.advance(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.advance(now);
        if self.tokens + EPSILON < 1.0 {
            return false;
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        true
    }

    /// Time until one token is there with the present share; none if it never will be.
    pub fn wait(&self) -> Option<Duration> {
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
