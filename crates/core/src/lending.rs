//! Lending side of a share: loans from a holder to the broker, and from the broker to borrowers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::amount::Amount;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LoanId;
use crate::loan::LoanGrant;
use crate::loan::LoanRequest;
use crate::max_min;
use crate::share::DEMAND_MAX_AGE;
use crate::share::HOLDER_LOAN_MAX;
use crate::share::Share;
use crate::share::Unit;

/// Maximum length of a loan from the broker to a borrower. It is half of `HOLDER_LOAN_MAX`, so that
/// it is always covered by loans that the broker still holds.
pub const BROKER_LOAN_MAX: Duration = Duration::from_millis(1_000);
/// Minimum length of a loan; a shorter one would end before it could be used.
const MIN_LOAN: Duration = Duration::from_millis(100);
/// Fraction of its floor that an idle holder keeps, so that its first statement does not have to
/// wait.
const IDLE_RESERVE: f64 = 0.01;

impl Share {
    /// Answers a request of the broker by lending the unused part of the floor.
    pub fn on_broker_request(
        &mut self,
        from: &HostId,
        incarnation: Incarnation,
        request: &LoanRequest,
        now: Duration,
    ) -> Option<LoanGrant> {
        self.advance(now);
        self.ledger
            .drop_superseded(from, incarnation, request.adopted);
        self.advance(now);
        self.last_broker_request = Some(now);
        let until = self.floor_until.min(now + HOLDER_LOAN_MAX);
        let duration = until.saturating_sub(now);
        if duration < MIN_LOAN {
            return None;
        }
        let own_demand = self.own_demand(now);
        let floor = self.floor.min(self.target_floor);
        let free = match self.unit {
            Unit::Rate => floor.saturating_sub(rate_reserve(floor, own_demand)),
            Unit::Connections => floor
                .saturating_sub(Amount::connections(self.connection_demand.0).max(self.occupied())),
        };
        let others = self
            .ledger
            .total_outstanding(now)
            .saturating_sub(self.ledger.outstanding(from, incarnation, now));
        let amount = round_down_to_unit(self.unit, free.saturating_sub(others));
        if amount.is_zero() && self.ledger.outstanding(from, incarnation, now).is_zero() {
            return None;
        }
        self.lend(from, incarnation, request.id, amount, now, duration)
    }

    /// Answers a borrower's request from this host's own floor and the amounts it has borrowed as
    /// the broker.
    pub fn on_borrow_request(
        &mut self,
        from: &HostId,
        incarnation: Incarnation,
        request: &LoanRequest,
        now: Duration,
    ) -> Option<LoanGrant> {
        if !request.demand.is_valid() {
            return None;
        }
        self.advance(now);
        self.ledger
            .drop_superseded(from, incarnation, request.adopted);
        self.advance(now);
        self.borrower_demands
            .insert(from.clone(), (request.demand, now));
        self.borrower_demands
            .retain(|_, (_, at)| now < *at + DEMAND_MAX_AGE);
        let end = now + BROKER_LOAN_MAX;
        let floor = if end <= self.floor_until {
            self.floor.min(self.target_floor)
        } else {
            Amount::ZERO
        };
        let total = self
            .borrowed
            .values()
            .fold(floor, |sum, b| sum.plus(b.amount_through(end)));
        let own_demand = self.own_demand(now);
        let own_part = own_demand.min(floor.rate);
        let mut demands: BTreeMap<HostId, f64> = self
            .borrower_demands
            .iter()
            .map(|(host, (demand, _))| (host.clone(), demand.rate))
            .collect();
        // The empty host name stands for this host's own demand above its floor.
        demands.insert(HostId::new(), (own_demand - own_part).max(0.0));
        let capacity = (total.rate - own_part).max(0.0);
        let allocations = match self.unit {
            Unit::Rate => max_min::divide(capacity, &demands),
            Unit::Connections => max_min::divide_whole(capacity, &demands),
        };
        let allocated = allocations[from];
        let burst = proportional_burst(allocated, total);
        let others = self
            .ledger
            .total_outstanding(now)
            .saturating_sub(self.ledger.outstanding(from, incarnation, now));
        let reserve = Amount::new(0.0, rate_reserve(floor, own_demand).burst);
        let free = total
            .saturating_sub(others)
            .saturating_sub(self.occupied())
            .saturating_sub(reserve);
        let amount = round_down_to_unit(self.unit, Amount::new(allocated, burst).min(free));
        self.lend(from, incarnation, request.id, amount, now, BROKER_LOAN_MAX)
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

fn round_down_to_unit(unit: Unit, amount: Amount) -> Amount {
    match unit {
        Unit::Rate => amount,
        Unit::Connections => Amount::new((amount.rate + 1e-6).floor(), 0.0),
    }
}

/// Part of its floor that a holder keeps. The burst is proportional to the rate, but at least one
/// token if the floor has one, because the rate cannot be used with less.
fn rate_reserve(floor: Amount, own_demand: f64) -> Amount {
    let rate = (own_demand + IDLE_RESERVE * floor.rate).min(floor.rate);
    if floor.rate <= 0.0 || floor.burst < 1.0 {
        return Amount::ZERO;
    }
    let burst = floor.burst * rate / floor.rate;
    Amount::new(rate, burst.max(1.0).min(floor.burst))
}

/// Burst for a part of the rate: proportional, but at least one token if the total has one.
fn proportional_burst(allocated: f64, total: Amount) -> f64 {
    if allocated <= 0.0 || total.rate <= 0.0 {
        return 0.0;
    }
    (total.burst * allocated / total.rate)
        .max(1.0)
        .min(total.burst)
}
