//! Token buckets for the rate limits of organisations; one host owns each organisation's bucket.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::token_bucket::TokenBucket;

use crate::model::configuration::Rate;

/// Buckets of the organisations that this host owns, and of those whose owner it cannot reach, from
/// which it takes its own share.
#[derive(Debug, Default)]
pub struct QuotaTable {
    buckets: BTreeMap<OrganisationId, TokenBucket>,
}

impl QuotaTable {
    /// Takes up to `count` tokens of an organisation, of whose rate this host may use the fraction
    /// `share`. A new bucket starts empty, since the previous owner may just have spent the burst.
    pub fn take(
        &mut self,
        organisation: &str,
        rate: Rate,
        share: f64,
        count: u32,
        now: Duration,
    ) -> u32 {
        let bucket = self
            .buckets
            .entry(organisation.to_owned())
            .or_insert_with(|| TokenBucket::empty(now));
        let amount = Amount::new(rate.per_second * share, (rate.burst * share).max(1.0));
        bucket.resize(amount, now);
        (0..count).take_while(|_| bucket.take(now)).count() as u32
    }

    /// Adds tokens to an organisation's bucket, up to its burst.
    pub fn fill(&mut self, organisation: &str, rate: Rate, tokens: f64, now: Duration) {
        let known = self
            .buckets
            .get(organisation)
            .map_or(0.0, TokenBucket::tokens);
        let tokens = known + tokens;
        let bucket =
            TokenBucket::with_tokens(Amount::new(rate.per_second, rate.burst), tokens, now);
        self.buckets.insert(organisation.to_owned(), bucket);
    }
}
