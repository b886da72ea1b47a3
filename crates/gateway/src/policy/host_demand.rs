//! Decides which tokens a host requests for operations of several priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::token_request::TokenRequest;
use crate::policy::held_tokens::HeldTokens;
use crate::policy::token_demand::MAX_BATCH;
use crate::policy::token_demand::TokenDemand;

/// A request without an answer after this time no longer counts as pending; above the time limit of
/// a call for tokens (250 ms).
const PENDING_LIMIT: Duration = Duration::from_millis(300);

/// Recent operations of one organisation on this host, by priority.
#[derive(Debug, Default)]
pub struct HostDemand {
    demands: BTreeMap<u32, TokenDemand>,
    /// Operations that the owner of the rate has not been told of.
    arrived: BTreeMap<u32, u32>,
    /// When the pending request for more than one token was sent.
    pending: Option<Duration>,
}

impl HostDemand {
    /// Records an operation.
    pub fn record(&mut self, priority: u32, now: Duration) {
        self.demands.entry(priority).or_default().record(now);
        let arrived = self.arrived.entry(priority).or_default();
        *arrived = arrived.saturating_add(1);
    }

    /// Requests for an operation and for those that are expected while the tokens are valid. While
    /// a request for several tokens is pending, further ones ask for one token only: otherwise each
    /// operation of a burst would request tokens for the same expected operations.
    pub fn requests(
        &mut self,
        priority: u32,
        held: &HeldTokens,
        lifetime: Duration,
        now: Duration,
    ) -> Vec<TokenRequest> {
        let pending = self
            .pending
            .is_some_and(|at| now.saturating_sub(at) < PENDING_LIMIT);
        let mut left = if pending { 0 } else { MAX_BATCH - 1 };
        let mut wanted = BTreeMap::from([(priority, 1)]);
        let own = std::iter::once((&priority, self.demands.get(&priority)));
        let others = self.demands.iter().filter(|(p, _)| **p != priority);
        for (class, demand) in own.chain(others.map(|(p, d)| (p, Some(d)))) {
            let expected = demand.map_or(0, |d| d.expected(lifetime, now));
            let held = held.count(*class, lifetime, now);
            // Held tokens are replaced by granted ones, so none are requested while some are held.
            let count = if held > 0 { 0 } else { expected.min(left) };
            left -= count;
            if count > 0 {
                *wanted.entry(*class).or_default() += count;
                self.pending = Some(now);
            }
        }
        let arrived = std::mem::take(&mut self.arrived);
        for class in arrived.keys() {
            wanted.entry(*class).or_default();
        }
        let request = |(class, wanted)| TokenRequest {
            priority: class,
            arrived: arrived.get(&class).copied().unwrap_or(0),
            wanted,
        };
        wanted.into_iter().map(request).collect()
    }

    /// Records that a request was answered or failed.
    pub fn on_answer(&mut self, requests: &[TokenRequest]) {
        if requests.iter().map(|r| r.wanted).sum::<u32>() > 1 {
            self.pending = None;
        }
    }
}
