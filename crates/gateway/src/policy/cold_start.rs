//! Rate limit for statements to a cold member, which is still slow after its start.

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::token_bucket::TokenBucket;

/// Fraction of a cold member's rate that its home host uses. The rate applies to all hosts
/// together, and for a moment two hosts may both consider themselves the home.
const HOME_FRACTION: f64 = 0.7;
/// Burst of the rate limit, in statements.
const BURST: f64 = 1.0;

/// Added to a wait, since its duration is rounded down.
const WAIT_SLACK: Duration = Duration::from_micros(100);

/// Whether and when a statement may be sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    Send,
    /// Try again after this time.
    Wait(Duration),
    /// This host may not use the member while it is cold.
    Refuse,
}

/// Limits the statements from this host to one member. A member that is not cold has no limit.
#[derive(Debug, Default)]
pub struct ColdStartLimiter {
    bucket: Option<TokenBucket>,
}

impl ColdStartLimiter {
    /// Sets the rate of a cold member, for all hosts together, and whether this host is its home.
    /// `None` removes the limit.
    pub fn set_rate(&mut self, rate: Option<f64>, home: bool, now: Duration) {
        let Some(rate) = rate else {
            self.bucket = None;
            return;
        };
        let share = if home { rate * HOME_FRACTION } else { 0.0 };
        let bucket = self.bucket.get_or_insert_with(|| TokenBucket::empty(now));
        let burst = if share > 0.0 { BURST } else { 0.0 };
        bucket.resize(Amount::new(share, burst), now);
    }

    /// Takes a token for one statement, or returns how long to wait for one.
    pub fn take(&mut self, now: Duration) -> SendDecision {
        let Some(bucket) = &mut self.bucket else {
            return SendDecision::Send;
        };
        if bucket.take(now) {
            return SendDecision::Send;
        }
        let wait = bucket.time_until_token().map(|left| left + WAIT_SLACK);
        wait.map_or(SendDecision::Refuse, SendDecision::Wait)
    }
}
