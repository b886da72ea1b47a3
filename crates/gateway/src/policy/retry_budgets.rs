//! Limits the load that retries put on a member.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;

use crate::model::error_code::ErrorCode;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::policy::retry_budget::RetryBudget;

/// A budget without a retry for this time is removed; a new one starts full. In this time the fixed
/// rate of a budget yields six times what it can hold.
const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// Budgets for the retries of each organisation at each member. Only those of organisations with
/// recent retries are kept.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    members: BTreeMap<MemberId, BTreeMap<OrganisationId, RetryBudget>>,
}

impl RetryBudgets {
    /// Records that a member answered an organisation's statement, and whether this was a charged
    /// retry.
    pub fn on_success(&mut self, member: &str, organisation: &str, retry: bool) {
        let organisations = self.members.get_mut(member);
        if let Some(budget) = organisations.and_then(|o| o.get_mut(organisation)) {
            budget.on_success(retry);
        }
    }

    /// Charges a retry at a member; false if the organisation's budget there is exhausted.
    pub fn on_retry(&mut self, member: &str, organisation: &str, now: Duration) -> bool {
        let organisations = self.members.get_mut(member);
        if let Some(budget) = organisations.and_then(|o| o.get_mut(organisation)) {
            return budget.on_retry(now);
        }
        self.remove_unused(now);
        let mut budget = RetryBudget::new(now);
        let allowed = budget.on_retry(now);
        let organisations = self.members.entry(member.to_owned()).or_default();
        organisations.insert(organisation.to_owned(), budget);
        allowed
    }

    /// Number of budgets in memory.
    pub fn count(&self) -> usize {
        self.members.values().map(BTreeMap::len).sum()
    }

    fn remove_unused(&mut self, now: Duration) {
        for organisations in self.members.values_mut() {
            organisations.retain(|_, b| now.saturating_sub(b.updated_at()) < REMOVE_AFTER);
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
        // The member refused because of its load, so the others may be loaded as well. `Aborted` also
        // stands for reads that were sent and have no answer.
        (ErrorCode::Busy, Cause::Member) | (ErrorCode::Aborted, _) => false,
        (code, _) => code.not_run() && attempts <= 1,
    }
}
