//! The lending side of a share: what a holder gives to the pooling host, and the pooling host to
//! borrowers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::amount::Amount;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LoanId;
use crate::loan::LoanGrant;
use crate::loan::LoanRequest;
use crate::max_min;
use crate::share::DEMAND_AGE;
use crate::share::HOLDER_LOAN;
use crate::share::Share;
use crate::share::Unit;

/// Longest loan from the pooling host to a borrower; half of `HOLDER_LOAN`, so that it is always
/// backed by loans that the pooling host still holds.
pub const POOL_LOAN: Duration = Duration::from_millis(1_000);
/// Loans shorter than this are over before they can be used.
const LOAN_MIN: Duration = Duration::from_millis(100);
/// Part of its floor that an idle holder keeps, so that a first statement need not wait.
const RESERVE: f64 = 0.01;

impl Share {
    /// Answers the pooling host: lends the unused part of the floor.
    pub fn on_pool_request(
        &mut self,
        from: &HostId,
        incarnation: Incarnation,
        request: &LoanRequest,
        now: Duration,
    ) -> Option<LoanGrant> {
        self.advance(now);
        self.ledger.confirm(from, incarnation, request.held);
        self.advance(now);
        self.recalled = Some(now);
        let until = self.floor_until.min(now + HOLDER_LOAN);
        let duration = until.saturating_sub(now);
        if duration < LOAN_MIN {
            return None;
        }
        let needed = self.needed(now);
        let floor = self.floor.min(self.target);
        let free = match self.unit {
            Unit::Rate => floor.saturating_sub(rate_reserve(floor, needed)),
            Unit::Whole => floor.saturating_sub(Amount::whole(self.need.0).max(self.occupied())),
        };
        let others =
            self.ledger
                .total(now)
                .saturating_sub(self.ledger.charged(from, incarnation, now));
        let amount = whole_if(self.unit, free.saturating_sub(others));
        if amount.is_zero() && self.ledger.charged(from, incarnation, now).is_zero() {
            return None;
        }
        self.lend(from, incarnation, request.id, amount, now, duration)
    }

    /// Answers a borrower from this host's own floor and what it holds as pooling host.
    pub fn on_borrow_request(
        &mut self,
        from: &HostId,
        incarnation: Incarnation,
        request: &LoanRequest,
        now: Duration,
    ) -> Option<LoanGrant> {
        if !request.want.is_valid() {
            return None;
        }
        self.advance(now);
        self.ledger.confirm(from, incarnation, request.held);
        self.advance(now);
        self.wants.insert(from.clone(), (request.want, now));
        self.wants.retain(|_, (_, at)| now < *at + DEMAND_AGE);
        let end = now + POOL_LOAN;
        let floor = if end <= self.floor_until {
            self.floor.min(self.target)
        } else {
            Amount::ZERO
        };
        let total = self
            .borrowed
            .values()
            .fold(floor, |sum, b| sum.plus(b.amount_through(end)));
        let needed = self.needed(now);
        let own = needed.min(floor.rate);
        let mut demands: BTreeMap<HostId, f64> = self
            .wants
            .iter()
            .map(|(host, (want, _))| (host.clone(), want.rate))
            .collect();
        // The empty name stands for this host's own demand above its floor.
        demands.insert(HostId::new(), (needed - own).max(0.0));
        let capacity = (total.rate - own).max(0.0);
        let parts = match self.unit {
            Unit::Rate => max_min::divide(capacity, &demands),
            Unit::Whole => max_min::divide_whole(capacity, &demands),
        };
        let part = parts[from];
        let burst = burst_for(part, total);
        let others =
            self.ledger
                .total(now)
                .saturating_sub(self.ledger.charged(from, incarnation, now));
        let kept = Amount::new(0.0, rate_reserve(floor, needed).burst);
        let free = total
            .saturating_sub(others)
            .saturating_sub(self.occupied())
            .saturating_sub(kept);
        let amount = whole_if(self.unit, Amount::new(part, burst).min(free));
        self.lend(from, incarnation, request.id, amount, now, POOL_LOAN)
    }

    fn lend(
        &mut self,
        to: &HostId,
        incarnation: Incarnation,
        id: LoanId,
        amount: Amount,
        now: Duration,
        duration: Duration,
    ) -> Option<LoanGrant> {
        self.ledger
            .lend(to, incarnation, id, amount, now + duration);
        self.advance(now);
        Some(LoanGrant {
            id,
            amount,
            duration,
        })
    }
}

fn whole_if(unit: Unit, amount: Amount) -> Amount {
    match unit {
        Unit::Rate => amount,
        Unit::Whole => Amount::new((amount.rate + 1e-6).floor(), 0.0),
    }
}

/// What a holder keeps of its floor. The burst is kept in proportion, but one whole token at
/// least if the floor has one: with less, the kept rate could not be used.
fn rate_reserve(floor: Amount, needed: f64) -> Amount {
    let rate = (needed + RESERVE * floor.rate).min(floor.rate);
    if floor.rate <= 0.0 || floor.burst < 1.0 {
        return Amount::ZERO;
    }
    let burst = floor.burst * rate / floor.rate;
    Amount::new(rate, burst.max(1.0).min(floor.burst))
}

/// Burst that goes with a part of the rate: in proportion, but one whole token at least.
fn burst_for(part: f64, total: Amount) -> f64 {
    if part <= 0.0 || total.rate <= 0.0 {
        return 0.0;
    }
    (total.burst * part / total.rate).max(1.0).min(total.burst)
}
