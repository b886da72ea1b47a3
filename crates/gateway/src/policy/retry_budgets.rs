//! Limits the load that retries put on a member.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::retry_budget::RetryBudget;

use crate::model::error_code::ErrorCode;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;

/// A budget without a retry for this time is removed; a new one starts full. In this time the fixed
/// rate of a budget yields six times what it can hold.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Entry {
    budget: RetryBudget,
    last_retry: Duration,
}

/// Budgets for the retries of each organisation at each member. Only those of organisations with
/// recent retries are kept.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    members: BTreeMap<MemberId, BTreeMap<OrganisationId, Entry>>,
}

impl RetryBudgets {
    /// Records that a member answered an organisation's statement, which allows a fraction of a
    /// retry.
    pub fn on_success(&mut self, member: &str, organisation: &str) {
        let organisations = self.members.get_mut(member);
        if let Some(entry) = organisations.and_then(|o| o.get_mut(organisation)) {
            entry.budget.on_attempt();
        }
    }

    /// Charges a retry at a member; false if the organisation's budget there is exhausted.
    pub fn on_retry(&mut self, member: &str, organisation: &str, now: Duration) -> bool {
        self.remove_unused(now);
        let organisations = self.members.entry(member.to_owned()).or_default();
        let entry = organisations
            .entry(organisation.to_owned())
            .or_insert_with(|| Entry {
                budget: RetryBudget::new(now),
                last_retry: now,
            });
        entry.last_retry = now;
        entry.budget.on_retry(now)
    }

    /// Number of budgets in memory.
    pub fn count(&self) -> usize {
        self.members.values().map(BTreeMap::len).sum()
    }

    fn remove_unused(&mut self, now: Duration) {
        for organisations in self.members.values_mut() {
            organisations.retain(|_, e| now.saturating_sub(e.last_retry) < REMOVE_AFTER);
        }
        self.members
            .retain(|_, organisations| !organisations.is_empty());
    }
}

/// Whether the retry after a failure is not charged. `attempts` is the number of attempts made.
pub fn is_free(error: &Failure, attempts: u32) -> bool {
    match (error.code, error.cause) {
        // A different way to the same member, or a frame that was too large: no load was caused.
        (ErrorCode::TooLarge, Cause::Peer) => true,
        // The host refused before anything was sent, or a replica without running the statement.
        // The retry waits for the new primary, or goes to a member that is not tried yet.
        (_, Cause::Primary) | (ErrorCode::Lagging, _) => true,
        // The member refused because of its load, so the others may be loaded as well.
        (ErrorCode::Busy, Cause::Member) => false,
        (code, _) => code.not_run() && attempts <= 1,
    }
}
