//! Retry budgets of all organisations on this host.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::retry_budget::RetryBudget;

/// Limits the automatic retries of each organisation, so that a failing endpoint whose answers are
/// lost does not receive a multiple of its load. Only organisations with a session have an entry,
/// so the number of entries is bounded by the contracts.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    start: Instant,
    budgets: Mutex<HashMap<OrganisationId, RetryBudget>>,
}

impl RetryBudgets {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            budgets: Mutex::default(),
        }
    }

    /// Records the first attempt of a request.
    pub(crate) fn on_attempt(&self, organisation: &str) {
        self.with(organisation, |budget, _| budget.on_attempt());
    }

    /// Takes one retry from the budget. Returns whether the request may be retried now.
    pub(crate) fn on_retry(&self, organisation: &str) -> bool {
        self.with(organisation, |budget, now| budget.on_retry(now))
    }

    fn with<T>(
        &self,
        organisation: &str,
        f: impl FnOnce(&mut RetryBudget, std::time::Duration) -> T,
    ) -> T {
        let now = self.start.elapsed();
        let mut budgets = self.budgets.lock().expect("no holder of this lock panics");
        if let Some(budget) = budgets.get_mut(organisation) {
            return f(budget, now);
        }
        let budget = budgets.entry(organisation.to_owned());
        f(budget.or_insert_with(|| RetryBudget::new(now)), now)
    }
}
