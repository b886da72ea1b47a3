//! Token buckets for the rate limits of organisations; one host owns each organisation's bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::ids::OrganisationId;

use crate::model::configuration::Rate;
use crate::model::token_request::TokenRequest;
use crate::policy::reserved_bucket::ReservedBucket;

/// Buckets of the organisations that this host owns, and of those whose owner it cannot reach, from
/// which it takes its own share.
#[derive(Debug, Default)]
pub struct QuotaTable {
    buckets: BTreeMap<OrganisationId, ReservedBucket>,
}

impl QuotaTable {
    /// Takes up to `count` tokens of an organisation, of whose rate this host may use the fraction
    /// `share`, without regard to priorities. A new bucket starts empty, since the previous owner may
    /// just have spent the burst.
    pub fn take(
        &mut self,
        organisation: &str,
        rate: Rate,
        share: f64,
        count: u32,
        now: Duration,
    ) -> u32 {
        let bucket = self.bucket(organisation, now);
        bucket.take(amount(rate, share), count, now)
    }

    /// Like `take`, for requests of several priorities. Requests of lower priorities leave tokens to
    /// higher ones while the demand exceeds the rate. Returns the tokens of each request.
    pub fn grant(
        &mut self,
        organisation: &str,
        rate: Rate,
        share: f64,
        requests: &[TokenRequest],
        now: Duration,
    ) -> Vec<u32> {
        let bucket = self.bucket(organisation, now);
        bucket.grant(amount(rate, share), requests, now)
    }

    /// Whether an organisation's lowest priority left tokens to higher ones at the last grant.
    pub fn is_reserving(&self, organisation: &str) -> bool {
        let bucket = self.buckets.get(organisation);
        bucket.is_some_and(ReservedBucket::is_reserving)
    }

    /// Adds tokens to an organisation's bucket, up to its burst, or takes them out of it, which may leave
    /// a debt.
    pub fn fill(&mut self, organisation: &str, rate: Rate, tokens: f64, now: Duration) {
        let bucket = self.bucket(organisation, now);
        let tokens = bucket.advance(now) + tokens;
        bucket.set_tokens(Amount::new(rate.per_second, rate.burst), tokens, now);
    }

    /// Whether this host has a bucket of the organisation.
    pub fn contains(&self, organisation: &str) -> bool {
        self.buckets.contains_key(organisation)
    }

    /// Drops an organisation's bucket and returns its tokens, if there is one.
    pub fn remove(&mut self, organisation: &str, now: Duration) -> Option<f64> {
        let mut bucket = self.buckets.remove(organisation)?;
        Some(bucket.advance(now))
    }

    /// Empties all buckets.
    pub fn empty(&mut self, now: Duration) {
        for bucket in self.buckets.values_mut() {
            bucket.clear(now);
        }
    }

    /// Drops the buckets of the organisations for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.buckets.retain(|organisation, _| keep(organisation));
    }

    fn bucket(&mut self, organisation: &str, now: Duration) -> &mut ReservedBucket {
        self.buckets
            .entry(organisation.to_owned())
            .or_insert_with(|| ReservedBucket::empty(now))
    }
}

fn amount(rate: Rate, share: f64) -> Amount {
    Amount::new(rate.per_second * share, (rate.burst * share).max(1.0))
}
