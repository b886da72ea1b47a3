//! Token bucket that keeps tokens back for operations of higher priorities.

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::token_bucket::TokenBucket;

use crate::model::token_request::TokenRequest;
use crate::policy::recent_demand::RecentDemand;

/// How long an empty bucket counts as a shortage. Covers the time until the window of the demand
/// shows that it exceeds the rate, for example after a start with an empty bucket.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);
/// Standard deviations by which the reserve exceeds the expected arrivals of a second. Arrivals are
/// assumed to be independent (Poisson), so that 97% of the seconds stay below.
const DEVIATIONS: f64 = 2.0;
/// Fraction of the burst from which a bucket serves all priorities. The rest takes up the refill between
/// two operations: at 1.0, a sixth fewer operations were served at 1.25 times the rate (10/s, burst 10).
const MAX_LEVEL: f64 = 0.75;
/// Tolerance for rounding errors in the number of tokens.
const EPSILON: f64 = 1e-9;

/// Bucket of one organisation, with its recent demand by priority.
///
/// The reserve only delays grants: it takes effect while the demand exceeds the rate, and only up to a
/// part of the burst, so that little refill is lost by it.
#[derive(Debug)]
pub struct ReservedBucket {
    bucket: TokenBucket,
    demand: RecentDemand,
    /// When a token was last refused since the bucket was empty.
    empty_at: Option<Duration>,
    reserving: bool,
}

impl ReservedBucket {
    pub fn empty(now: Duration) -> Self {
        Self {
            bucket: TokenBucket::empty(now),
            demand: RecentDemand::default(),
            empty_at: None,
            reserving: false,
        }
    }

    /// Adds the tokens that have accrued and returns all.
    pub fn advance(&mut self, now: Duration) -> f64 {
        self.bucket.advance(now);
        self.bucket.tokens()
    }

    /// Discards the tokens, also those that have accrued; the recorded demand stays.
    pub fn clear(&mut self, now: Duration) {
        self.bucket = TokenBucket::empty(now);
    }

    /// Replaces the tokens; the recorded demand stays.
    pub fn set_tokens(&mut self, share: Amount, tokens: f64, now: Duration) {
        self.bucket = TokenBucket::with_tokens(share, tokens, now);
    }

    /// Whether the lowest priority left tokens to higher ones at the last grant.
    pub fn is_reserving(&self) -> bool {
        self.reserving
    }

    /// Takes up to `count` tokens in order of arrival, without a reserve.
    pub fn take(&mut self, share: Amount, count: u32, now: Duration) -> u32 {
        self.reserving = false;
        self.bucket.resize(share, now);
        (0..count).take_while(|_| self.bucket.take(now)).count() as u32
    }

    /// Takes tokens for each request, those of higher priorities first. Returns the tokens of each
    /// request, in the order of `requests`.
    pub fn grant(&mut self, share: Amount, requests: &[TokenRequest], now: Duration) -> Vec<u32> {
        self.bucket.resize(share, now);
        for request in requests {
            self.demand.record(request.priority, request.arrived, now);
        }
        let mut order: Vec<usize> = (0..requests.len()).collect();
        order.sort_by_key(|index| requests[*index].priority);
        let mut granted = vec![0; requests.len()];
        for index in order {
            let request = requests[index];
            while granted[index] < request.wanted && self.take_above_reserve(request, share, now) {
                granted[index] += 1;
            }
        }
        let lowest = self.demand.lowest(now);
        self.reserving = lowest.is_some_and(|p| self.reserve(p, share, now) > 0.0);
        granted
    }

    fn take_above_reserve(&mut self, request: TokenRequest, share: Amount, now: Duration) -> bool {
        let reserve = self.reserve(request.priority, share, now);
        if self.bucket.tokens() + EPSILON >= 1.0 + reserve {
            return self.bucket.take(now);
        }
        if self.bucket.tokens() + EPSILON < 1.0 {
            self.empty_at = Some(now);
        }
        false
    }

    /// Tokens that operations of this priority leave to higher ones.
    fn reserve(&mut self, priority: u32, share: Amount, now: Duration) -> f64 {
        let short = self
            .empty_at
            .is_some_and(|at| now.saturating_sub(at) < SHORTAGE_TIME);
        if !short && !self.demand.exceeds(share.rate, now) {
            return 0.0;
        }
        let expected = self.demand.above(priority, now);
        let reserve = (expected + DEVIATIONS * expected.sqrt()).ceil();
        reserve.min(share.burst * MAX_LEVEL - 1.0).max(0.0)
    }
}
