//! Grants tokens of organisations' rates, and moves them when the owner of a rate changes.
//!
//! A rate has one owner, which all hosts derive from the list of hosts. A host that loses a rate empties
//! its bucket and hands the tokens over; one that gets a rate, also for the second time, starts with
//! those. While two hosts own a rate, since one has not heard of the change, both refill; the handover
//! takes that back, into debt if need be. Tokens are so granted once, whoever owned the rate before.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;

use crate::model::configuration::Rate;
use crate::model::token_request::TokenRequest;
use crate::policy::quota::QuotaTable;
use crate::policy::requesting_hosts::RequestingHosts;
use crate::policy::token_call::TokenCall;

/// Tokens of a new owner before a handover. Without any, the first operation at the new owner is refused.
/// The allowed excess of 20 operations in 5 s covers as many changes.
const FIRST_TOKENS: f64 = 1.0;
/// Tokens are handed over within this time of the change, or are lost: the new owner's own refill
/// replaces them.
const HANDOVER_LIMIT: Duration = Duration::from_secs(1);
/// A process that did nothing for this long was suspended. The tokens that accrued meanwhile may have been
/// granted by others.
const SUSPENSION_LIMIT: Duration = Duration::from_millis(1500);

/// How one host takes part in the rates of organisations.
#[derive(Debug, Default)]
pub struct RateGrants {
    /// Buckets from which hosts are granted tokens.
    table: QuotaTable,
    /// Buckets of this host's own shares of rates whose owners do not answer.
    shares: QuotaTable,
    callers: BTreeMap<OrganisationId, RequestingHosts>,
    /// Rates that this host owns, and since when.
    owned: BTreeMap<OrganisationId, Duration>,
    /// Rates that this host owned and lost.
    lost: BTreeSet<OrganisationId>,
    /// Tokens that came before this host heard that it owns the rate, and when.
    early: BTreeMap<OrganisationId, (f64, Duration)>,
    /// Rates that were filled at a start of the whole system.
    filled: BTreeSet<OrganisationId>,
    /// When this host last did anything.
    active: Option<Duration>,
}

impl RateGrants {
    /// Records whether this host owns a rate. Returns the tokens to hand over if it has just lost it.
    pub fn set_owner(
        &mut self,
        organisation: &str,
        rate: Rate,
        owner: bool,
        now: Duration,
    ) -> Option<f64> {
        self.on_activity(now);
        match (self.owned.contains_key(organisation), owner) {
            (false, true) => {
                self.owned.insert(organisation.to_owned(), now);
                self.lost.remove(organisation);
                // Hosts that called when this host last owned the rate would count as silent.
                self.callers.remove(organisation);
                let early = self.early.remove(organisation);
                let early = early.filter(|(_, at)| now.saturating_sub(*at) <= HANDOVER_LIMIT);
                let tokens = FIRST_TOKENS + early.map_or(0.0, |(tokens, _)| tokens);
                self.table.remove(organisation, now);
                self.table.fill(organisation, rate, tokens, now);
                None
            }
            (true, false) => {
                self.owned.remove(organisation);
                self.lost.insert(organisation.to_owned());
                self.table.remove(organisation, now)
            }
            _ => None,
        }
    }

    /// Whether this host has lost a rate. Hosts that ask for its tokens have not heard of that.
    pub fn has_lost(&self, organisation: &str) -> bool {
        self.lost.contains(organisation)
    }

    /// Takes over the tokens or the debt of a former owner, which stopped its refill when it sent them.
    pub fn on_handover(&mut self, organisation: &str, rate: Rate, tokens: f64, now: Duration) {
        self.on_activity(now);
        if !tokens.is_finite() {
            return;
        }
        let tokens = tokens.min(rate.burst).max(-rate.burst);
        match self.owned.get(organisation) {
            Some(since) if now.saturating_sub(*since) <= HANDOVER_LIMIT => {
                let refill = now.saturating_sub(*since).as_secs_f64() * rate.per_second;
                self.table.fill(organisation, rate, tokens - refill, now);
            }
            Some(_) => {}
            None => {
                self.early.insert(organisation.to_owned(), (tokens, now));
            }
        }
    }

    /// Drops what belongs to organisations that the configuration no longer has.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.table.retain(&exists);
        self.shares.retain(&exists);
        self.callers.retain(|organisation, _| exists(organisation));
        self.owned.retain(|organisation, _| exists(organisation));
        self.lost.retain(|organisation| exists(organisation));
        self.early.retain(|organisation, _| exists(organisation));
        self.filled.retain(|organisation| exists(organisation));
    }

    /// Adds the first tokens of a rate after a start or restart of the whole system, if this host owns
    /// it and has not done so.
    pub fn fill(&mut self, organisation: &str, rate: Rate, tokens: f64, now: Duration) {
        if self.owned.contains_key(organisation) && self.filled.insert(organisation.to_owned()) {
            self.table.fill(organisation, rate, tokens, now);
        }
    }

    /// Grants tokens to a host, of `hosts` in all. The shares of hosts that no longer call are kept back,
    /// since a host that is cut off uses its own share. Returns the tokens of each request.
    pub fn grant(
        &mut self,
        from: &str,
        hosts: u32,
        call: &TokenCall<'_>,
        now: Duration,
    ) -> Vec<u32> {
        self.on_activity(now);
        let organisation = call.organisation;
        let callers = self.callers.entry(organisation.to_owned()).or_default();
        callers.record(from, now);
        let share = callers.share(hosts, now);
        if !self.table.contains(organisation) {
            self.table.fill(organisation, call.rate, FIRST_TOKENS, now);
        }
        take(&mut self.table, share, call, now)
    }

    /// Takes tokens of this host's own share of a rate whose owner does not answer. They accrue from the
    /// first such call on.
    pub fn take_share(&mut self, hosts: u32, call: &TokenCall<'_>, now: Duration) -> Vec<u32> {
        self.on_activity(now);
        let share = 1.0 / f64::from(hosts.max(1));
        take(&mut self.shares, share, call, now)
    }

    /// The owner of a rate has answered, so this host's own share does not accrue. Kept shares of all hosts
    /// would add up to a second burst.
    pub fn on_owner_answered(&mut self, organisation: &str, now: Duration) {
        self.shares.remove(organisation, now);
    }

    /// Whether an organisation's lowest priority left tokens to higher ones at the last grant.
    pub fn is_reserving(&self, organisation: &str) -> bool {
        self.table.is_reserving(organisation)
    }

    /// Must be called more often than `SUSPENSION_LIMIT` while the process runs.
    pub fn on_activity(&mut self, now: Duration) {
        let last = self.active.replace(now).unwrap_or(now);
        if now.saturating_sub(last) > SUSPENSION_LIMIT {
            self.table.empty(now);
            self.shares.empty(now);
        }
    }
}

fn take(table: &mut QuotaTable, share: f64, call: &TokenCall<'_>, now: Duration) -> Vec<u32> {
    let (organisation, rate) = (call.organisation, call.rate);
    if call.ranked {
        return table.grant(organisation, rate, share, call.requests, now);
    }
    let take = |r: &TokenRequest| table.take(organisation, rate, share, r.wanted, now);
    call.requests.iter().map(take).collect()
}
