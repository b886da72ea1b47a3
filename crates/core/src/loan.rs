//! The two sides of a loan: what a lender has lent and what a borrower holds.
//!
//! The borrower counts a loan from when it sent the request, the lender from when it answered,
//! so the loan always ends at the borrower first, whatever the network does.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::amount::Amount;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LoanId;

/// Requests whose answer may still arrive; older ones are forgotten.
const PENDING_MAX: usize = 64;

/// A borrower's request to one lender for one limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    pub id: LoanId,
    /// Newest loan that the borrower has adopted. It no longer uses any older one.
    pub held: LoanId,
    pub want: Amount,
}

/// A lender's answer. It replaces the previous loan to the same borrower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanGrant {
    pub id: LoanId,
    pub amount: Amount,
    pub duration: Duration,
}

#[derive(Debug, Clone)]
struct Charge {
    incarnation: Incarnation,
    id: LoanId,
    amount: Amount,
    until: Duration,
}

/// What one host has lent of one limit.
#[derive(Debug, Default)]
pub struct Ledger {
    charges: BTreeMap<HostId, Vec<Charge>>,
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
        let charges = self.charges.entry(to.clone()).or_default();
        charges.push(Charge {
            incarnation,
            id,
            amount,
            until,
        });
    }

    /// Drops loans older than the one the borrower says it has adopted.
    pub fn confirm(&mut self, from: &HostId, incarnation: Incarnation, held: LoanId) {
        if let Some(charges) = self.charges.get_mut(from) {
            charges.retain(|c| c.incarnation != incarnation || c.id >= held);
        }
    }

    /// Drops loans that have ended.
    pub fn expire(&mut self, now: Duration) {
        self.charges.retain(|_, charges| {
            charges.retain(|c| c.until > now);
            !charges.is_empty()
        });
    }

    /// What one run of a borrower may be using at `at`: it uses one of its loans, not their sum.
    pub fn charged(&self, to: &HostId, incarnation: Incarnation, at: Duration) -> Amount {
        self.charges.get(to).map_or(Amount::ZERO, |charges| {
            largest(charges.iter().filter(|c| c.incarnation == incarnation), at)
        })
    }

    /// What all borrowers together may be using at `at`.
    pub fn total(&self, at: Duration) -> Amount {
        self.charges
            .values()
            .fold(Amount::ZERO, |sum, c| sum.plus(all_runs(c, at)))
    }

    pub fn is_empty(&self) -> bool {
        self.charges.is_empty()
    }

    /// Times at which loans end.
    pub fn ends(&self) -> impl Iterator<Item = Duration> {
        self.charges.values().flatten().map(|c| c.until)
    }
}

/// Loans to earlier runs of a host count beside those to the present run: a pooling host that
/// crashed may have lent them on.
fn all_runs(charges: &[Charge], at: Duration) -> Amount {
    let runs: BTreeSet<Incarnation> = charges.iter().map(|c| c.incarnation).collect();
    runs.into_iter().fold(Amount::ZERO, |sum, run| {
        sum.plus(largest(charges.iter().filter(|c| c.incarnation == run), at))
    })
}

fn largest<'a>(charges: impl Iterator<Item = &'a Charge>, at: Duration) -> Amount {
    charges
        .filter(|c| c.until > at)
        .fold(Amount::ZERO, |sum, c| sum.max(c.amount))
}

/// A loan as the borrower holds it; `until` is on the borrower's clock.
#[derive(Debug, Clone, Default)]
pub struct Loan {
    pub id: LoanId,
    pub amount: Amount,
    pub until: Duration,
}

/// What one host has borrowed of one limit from one lender.
#[derive(Debug, Default)]
pub struct Borrowed {
    held: Loan,
    /// A newer, smaller loan that is not adopted yet because more is still in use or lent on.
    next: Option<Loan>,
    pending: BTreeMap<LoanId, Duration>,
    pub sent: Option<Duration>,
    pub want: Amount,
}

impl Borrowed {
    /// Prepares a request; `now` is when it is sent.
    pub fn request(&mut self, id: LoanId, want: Amount, now: Duration) -> LoanRequest {
        self.pending.insert(id, now);
        while self.pending.len() > PENDING_MAX {
            self.pending.pop_first();
        }
        self.sent = Some(now);
        self.want = want;
        LoanRequest {
            id,
            held: self.held.id,
            want,
        }
    }

    /// Takes a grant; repeated, unknown and superseded grants change nothing.
    pub fn on_grant(&mut self, grant: &LoanGrant, now: Duration) {
        let Some(sent) = self.pending.remove(&grant.id) else {
            return;
        };
        let newest = self.next.as_ref().map_or(self.held.id, |n| n.id);
        let until = sent + grant.duration;
        if grant.id <= newest || until <= now || !grant.amount.is_valid() {
            return;
        }
        let loan = Loan {
            id: grant.id,
            amount: grant.amount,
            until,
        };
        if self.amount_at(now).is_within(loan.amount) && until >= self.held.until {
            self.held = loan;
            self.next = None;
        } else {
            self.next = Some(loan);
        }
    }

    /// Adopts a smaller loan if `fits` accepts the change of amount, or if the larger has ended.
    pub fn settle(&mut self, now: Duration, fits: impl FnOnce(Amount) -> bool) {
        let Some(next) = &self.next else { return };
        let ended = self.held.until <= now;
        if ended || fits(self.held.amount.saturating_sub(next.amount)) {
            self.held = next.clone();
            self.next = None;
        }
    }

    /// What may be used at `at` by loans known now.
    pub fn amount_at(&self, at: Duration) -> Amount {
        match &self.next {
            _ if self.held.until > at => self.held.amount,
            Some(next) if next.until > at => next.amount,
            _ => Amount::ZERO,
        }
    }

    /// Amount of the newest loan, whether adopted yet or not.
    pub fn newest_at(&self, at: Duration) -> Amount {
        let loan = self.next.as_ref().unwrap_or(&self.held);
        if loan.until > at {
            loan.amount
        } else {
            Amount::ZERO
        }
    }

    /// What may be lent on until `at`: the smaller of the loans, if it lasts.
    pub fn amount_through(&self, at: Duration) -> Amount {
        let loan = self.next.as_ref().unwrap_or(&self.held);
        if loan.until < at {
            return Amount::ZERO;
        }
        if self.next.is_some() && self.held.until >= at {
            return loan.amount.min(self.held.amount);
        }
        loan.amount
    }

    /// Times at which loans end.
    pub fn ends(&self) -> impl Iterator<Item = Duration> {
        self.next
            .iter()
            .map(|n| n.until)
            .chain(std::iter::once(self.held.until))
    }
}
