//! Rates of the organisations, shared out by one host for each organisation.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::bucket::Bucket;
use magnoliahatch_core::ids::OrganisationId;

use crate::model::configuration::Rate;

/// Buckets of the organisations that this host shares out, or uses alone while the owner cannot
/// be reached.
#[derive(Debug, Default)]
pub struct QuotaTable {
    buckets: BTreeMap<OrganisationId, Bucket>,
}

impl QuotaTable {
    /// Takes up to `count` tokens of an organisation whose part of the rate here is `share`.
    /// A new bucket starts empty, since the previous owner may have spent its burst just before.
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
            .or_insert_with(|| Bucket::empty(now));
        let part = Amount::new(rate.per_second * share, (rate.burst * share).max(1.0));
        bucket.resize(part, now);
        (0..count).take_while(|_| bucket.take(now)).count() as u32
    }

    /// Adds tokens for an organisation, up to its burst.
    pub fn fill(&mut self, organisation: &str, rate: Rate, tokens: f64, now: Duration) {
        let known = self.buckets.get(organisation).map_or(0.0, Bucket::tokens);
        let tokens = known + tokens;
        let bucket = Bucket::holding(Amount::new(rate.per_second, rate.burst), tokens, now);
        self.buckets.insert(organisation.to_owned(), bucket);
    }
}
