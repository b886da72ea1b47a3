//! Loans as recorded by the lender and by the borrower.
//!
//! The borrower counts the length of a loan from when it sent the request, and the lender from when
//! it answered, so a loan always ends at the borrower first, however long messages are delayed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::amount::Amount;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LoanId;

/// Maximum number of requests that may still be answered; older ones are forgotten.
const MAX_SENT_REQUESTS: usize = 64;

/// Time without an answer after which a lender is passed over. Lenders answer at once, and requests
/// are repeated within this time.
const SILENCE_LIMIT: Duration = Duration::from_millis(600);
/// A lender that was passed over may be asked again after this time.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// A borrower's request to one lender for one limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    pub id: LoanId,
    /// Newest loan that the borrower has adopted. It no longer uses older loans.
    pub adopted: LoanId,
    pub demand: Amount,
}

/// A lender's answer. The loan replaces the previous one to the same borrower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanGrant {
    pub id: LoanId,
    pub amount: Amount,
    pub duration: Duration,
}

/// A loan as the lender records it; `until` is on the lender's clock.
#[derive(Debug, Clone)]
struct LentLoan {
    incarnation: Incarnation,
    id: LoanId,
    amount: Amount,
    until: Duration,
}

/// Loans that one host has made from one limit.
#[derive(Debug, Default)]
pub struct Ledger {
    loans: BTreeMap<HostId, Vec<LentLoan>>,
}

impl Ledger {
    /// Records a loan that ends at `until` on the lender's clock.
    pub fn lend(
        &mut self,
        to: &HostId,
        incarnation: Incarnation,
        id: LoanId,
        amount: Amount,
        until: Duration,
    ) {
        let loans = self.loans.entry(to.clone()).or_default();
        loans.push(LentLoan {
            incarnation,
            id,
            amount,
            until,
        });
    }

    /// Drops loans older than the one that the borrower reports as adopted.
    pub fn drop_superseded(&mut self, from: &HostId, incarnation: Incarnation, adopted: LoanId) {
        if let Some(loans) = self.loans.get_mut(from) {
            loans.retain(|l| l.incarnation != incarnation || l.id >= adopted);
        }
    }

    /// Drops loans that have ended.
    pub fn expire(&mut self, now: Duration) {
        self.loans.retain(|_, loans| {
            loans.retain(|l| l.until > now);
            !loans.is_empty()
        });
    }

    /// Amount that one run of a borrower may be using at `at`. It uses only one of its loans at a
    /// time, so this is the largest of them and not their sum.
    pub fn outstanding(&self, to: &HostId, incarnation: Incarnation, at: Duration) -> Amount {
        self.loans.get(to).map_or(Amount::ZERO, |loans| {
            largest(loans.iter().filter(|l| l.incarnation == incarnation), at)
        })
    }

    /// Amount that all borrowers together may be using at `at`.
    pub fn total_outstanding(&self, at: Duration) -> Amount {
        self.loans
            .values()
            .fold(Amount::ZERO, |sum, l| sum.plus(sum_over_runs(l, at)))
    }

    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// Times at which the loans end.
    pub fn end_times(&self) -> impl Iterator<Item = Duration> {
        self.loans.values().flatten().map(|l| l.until)
    }
}

/// Sums the loans to all runs of a host. Loans to earlier runs count as well, because a broker that
/// crashed may have lent them on.
fn sum_over_runs(loans: &[LentLoan], at: Duration) -> Amount {
    let runs: BTreeSet<Incarnation> = loans.iter().map(|l| l.incarnation).collect();
    runs.into_iter().fold(Amount::ZERO, |sum, run| {
        sum.plus(largest(loans.iter().filter(|l| l.incarnation == run), at))
    })
}

fn largest<'a>(loans: impl Iterator<Item = &'a LentLoan>, at: Duration) -> Amount {
    loans
        .filter(|l| l.until > at)
        .fold(Amount::ZERO, |sum, l| sum.max(l.amount))
}

/// A loan as the borrower records it; `until` is on the borrower's clock.
#[derive(Debug, Clone, Default)]
pub struct Loan {
    pub id: LoanId,
    pub amount: Amount,
    pub until: Duration,
}

/// Loans of one limit that one host has from one lender.
#[derive(Debug, Default)]
pub struct Borrowed {
    adopted: Loan,
    /// A newer loan that replaces the adopted one but is not adopted yet, because more than it
    /// allows may still be in use or lent on.
    pending: Option<Loan>,
    /// When each request that may still be answered was sent.
    sent_requests: BTreeMap<LoanId, Duration>,
    pub last_sent: Option<Duration>,
    pub last_demand: Amount,
    /// When the first request was sent that got no answer, if none was answered since.
    unanswered_since: Option<Duration>,
}

impl Borrowed {
    /// Builds a request that is sent at `now`.
    pub fn request(&mut self, id: LoanId, demand: Amount, now: Duration) -> LoanRequest {
        self.sent_requests.insert(id, now);
        while self.sent_requests.len() > MAX_SENT_REQUESTS {
            self.sent_requests.pop_first();
        }
        if self.may_retry(now) {
            self.unanswered_since = None;
        }
        self.unanswered_since.get_or_insert(now);
        self.last_sent = Some(now);
        self.last_demand = demand;
        LoanRequest {
            id,
            adopted: self.adopted.id,
            demand,
        }
    }

    /// Whether a request was sent since the lender's last answer.
    pub(crate) fn awaits_answer(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Whether the lender has left requests unanswered for `SILENCE_LIMIT`, and is not tried again
    /// yet.
    pub fn is_silent(&self, now: Duration) -> bool {
        let silent = self
            .unanswered_since
            .is_some_and(|at| now >= at + SILENCE_LIMIT);
        silent && !self.may_retry(now)
    }

    fn may_retry(&self, now: Duration) -> bool {
        self.last_sent.is_none_or(|at| now >= at + RETRY_INTERVAL)
    }

    /// Processes a grant. Duplicate, unknown and superseded grants are ignored.
    pub fn on_grant(&mut self, grant: &LoanGrant, now: Duration) {
        let Some(sent) = self.sent_requests.remove(&grant.id) else {
            return;
        };
        self.unanswered_since = None;
        let newest_id = self.pending.as_ref().map_or(self.adopted.id, |n| n.id);
        let until = sent + grant.duration;
        if grant.id <= newest_id || until <= now || !grant.amount.is_valid() {
            return;
        }
        let loan = Loan {
            id: grant.id,
            amount: grant.amount,
            until,
        };
        if self.amount_at(now).is_within(loan.amount) && until >= self.adopted.until {
            self.adopted = loan;
            self.pending = None;
        } else {
            self.pending = Some(loan);
        }
    }

    /// Adopts the waiting loan if `can_release` accepts the reduction of the amount, or if the
    /// adopted loan has ended.
    pub fn adopt_pending(&mut self, now: Duration, can_release: impl FnOnce(Amount) -> bool) {
        let Some(pending) = &self.pending else { return };
        let ended = self.adopted.until <= now;
        if ended || can_release(self.adopted.amount.saturating_sub(pending.amount)) {
            self.adopted = pending.clone();
            self.pending = None;
        }
    }

    /// Amount that may be used at `at`, according to the loans known now.
    pub fn amount_at(&self, at: Duration) -> Amount {
        match &self.pending {
            _ if self.adopted.until > at => self.adopted.amount,
            Some(pending) if pending.until > at => pending.amount,
            _ => Amount::ZERO,
        }
    }

    /// Amount of the newest loan, whether adopted yet or not.
    pub fn newest_at(&self, at: Duration) -> Amount {
        let loan = self.pending.as_ref().unwrap_or(&self.adopted);
        if loan.until > at {
            loan.amount
        } else {
            Amount::ZERO
        }
    }

    /// Amount that may be lent on until `at`: the smaller of the loans that last until then, or
    /// nothing if the newest loan ends before.
    pub fn amount_through(&self, at: Duration) -> Amount {
        let loan = self.pending.as_ref().unwrap_or(&self.adopted);
        if loan.until < at {
            return Amount::ZERO;
        }
        if self.pending.is_some() && self.adopted.until >= at {
            return loan.amount.min(self.adopted.amount);
        }
        loan.amount
    }

    /// Times at which loans end.
    pub fn end_times(&self) -> impl Iterator<Item = Duration> {
        self.pending
            .iter()
            .map(|n| n.until)
            .chain(std::iter::once(self.adopted.until))
    }
}
