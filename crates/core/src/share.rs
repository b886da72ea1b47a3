//! One host's share of a limit: the floor of its seat, its borrowed and its lent amounts.
//!
//! A host may use its floor plus the borrowed amounts minus the lent amounts. The sum over all
//! hosts never exceeds the limit. Holders lend unused floors to the broker, the host that collects
//! them for this limit, and the broker lends them on to borrowers. The same type serves all three
//! roles.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::amount::Amount;
use crate::demand::Demand;
use crate::ids::HostId;
use crate::ids::LoanId;
use crate::loan::Borrowed;
use crate::loan::Ledger;
use crate::loan::LoanGrant;
use crate::loan::LoanRequest;
use crate::token_bucket::TokenBucket;

/// Maximum length of a loan from a holder to the broker.
pub const HOLDER_LOAN_MAX: Duration = Duration::from_millis(2_000);
/// A borrower whose last request is older than this counts as having no demand.
pub(crate) const DEMAND_MAX_AGE: Duration = Duration::from_millis(700);
/// How long a past demand for connections counts. Opening a connection takes about 12 ms, so
/// connections are not given up between two statements.
const CONNECTION_DEMAND_HOLD: Duration = Duration::from_secs(1);
/// Time that a pool has for closing connections before the floor or loan that covers them ends.
pub const CLOSE_MARGIN: Duration = Duration::from_millis(200);
/// Shortfall up to which nothing is borrowed.
const MIN_SHORTFALL: f64 = 1e-3;

/// Kind of resource that a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Statements, limited by rate and burst.
    Rate,
    /// Connections, in whole units.
    Connections,
}

/// State of one host's share of a limit.
#[derive(Debug)]
pub struct Share {
    pub(crate) unit: Unit,
    pub(crate) floor: Amount,
    pub(crate) floor_until: Duration,
    /// Floor to adopt. It differs from `floor` while a reduction waits until enough of the old
    /// floor is neither in use nor lent.
    pub(crate) target_floor: Amount,
    pub(crate) borrowed: BTreeMap<HostId, Borrowed>,
    pub(crate) ledger: Ledger,
    /// Demand and time of each borrower's latest request to this host.
    pub(crate) borrower_demands: BTreeMap<HostId, (Amount, Duration)>,
    pub(crate) bucket: TokenBucket,
    pub demand: Demand,
    /// Highest number of connections in use or waited for within `CONNECTION_DEMAND_HOLD`, and when
    /// it was recorded.
    pub(crate) connection_demand: (u32, Duration),
    /// Number of open connections, busy or idle; `None` if unknown.
    pub(crate) open_connections: Option<u32>,
    /// When the broker last asked for unused parts of the floor.
    pub(crate) last_broker_request: Option<Duration>,
    /// Time to which the state was last advanced.
    pub(crate) advanced_to: Duration,
}

impl Share {
    pub fn new(unit: Unit, now: Duration) -> Self {
        Self {
            unit,
            floor: Amount::ZERO,
            floor_until: Duration::ZERO,
            target_floor: Amount::ZERO,
            borrowed: BTreeMap::new(),
            ledger: Ledger::default(),
            borrower_demands: BTreeMap::new(),
            bucket: TokenBucket::empty(now),
            demand: Demand::default(),
            connection_demand: (0, now),
            open_connections: Some(0),
            last_broker_request: None,
            advanced_to: now,
        }
    }

    /// Advances the state to `now`. Loans that ended in the meantime, for instance while the
    /// process was paused, fill the bucket only until their end.
    pub fn advance(&mut self, now: Duration) {
        let mut ends: Vec<Duration> = self
            .borrowed
            .values()
            .flat_map(Borrowed::end_times)
            .chain(self.ledger.end_times())
            .chain([self.floor_until])
            .filter(|end| *end > self.advanced_to && *end < now)
            .collect();
        ends.sort_unstable();
        for end in ends {
            self.bucket.resize(self.usable(end), end);
        }
        self.advanced_to = self.advanced_to.max(now);
        self.ledger.expire(now);
        self.adopt_reductions(now);
        self.bucket.resize(self.usable(now), now);
    }

    /// Sets the floor, valid until `until`. Returns false while a smaller floor cannot be adopted
    /// yet.
    pub fn set_floor(&mut self, floor: Amount, until: Duration, now: Duration) -> bool {
        self.advance(now);
        self.target_floor = floor;
        self.floor_until = until;
        self.advance(now);
        self.floor == floor
    }

    /// Extends an unchanged floor to `until`. Returns false if a change is still to be adopted,
    /// which requires `set_floor`.
    pub fn extend_floor(&mut self, until: Duration, now: Duration) -> bool {
        if self.floor != self.target_floor {
            return false;
        }
        if now >= self.floor_until {
            self.advance(now);
        }
        self.floor_until = until;
        true
    }

    /// Forgets lenders that `keep` rejects and whose loans have ended.
    pub fn retain(&mut self, keep: impl Fn(&HostId) -> bool, now: Duration) {
        self.borrowed
            .retain(|host, loan| keep(host) || loan.end_times().any(|end| end > now));
    }

    /// Whether nothing is lent and no loan was requested within the length of a holder's loan.
    pub fn is_idle(&self, now: Duration) -> bool {
        let recent = |b: &Borrowed| b.last_sent.is_some_and(|at| now < at + HOLDER_LOAN_MAX);
        self.ledger.is_empty() && !self.borrowed.values().any(recent)
    }

    fn adopt_reductions(&mut self, now: Duration) {
        if self.floor != self.target_floor {
            let reduction = self.floor.saturating_sub(self.target_floor);
            if reduction.is_zero() || self.floor_until <= now || self.can_release(reduction, now) {
                self.floor = self.target_floor;
            }
        }
        let mut hosts: Vec<HostId> = self.borrowed.keys().cloned().collect();
        hosts.retain(|h| self.borrowed[h].amount_at(now) != Amount::ZERO);
        for host in hosts {
            let unused = self.unused(now);
            if let Some(loan) = self.borrowed.get_mut(&host) {
                loan.adopt_pending(now, |reduction| reduction.is_within(unused));
            }
        }
    }

    fn can_release(&self, reduction: Amount, now: Duration) -> bool {
        reduction.is_within(self.unused(now))
    }

    /// Amount that is neither lent nor occupied by open connections.
    fn unused(&self, now: Duration) -> Amount {
        self.usable(now).saturating_sub(self.occupied())
    }

    pub(crate) fn occupied(&self) -> Amount {
        match (self.unit, self.open_connections) {
            (Unit::Rate, _) => Amount::ZERO,
            (Unit::Connections, Some(open)) => Amount::connections(open),
            // Without a report, any number of connections may be open.
            (Unit::Connections, None) => Amount::connections(u32::MAX),
        }
    }

    fn floor_at(&self, at: Duration) -> Amount {
        if at < self.floor_until {
            self.floor
        } else {
            Amount::ZERO
        }
    }

    /// Amount that this host may use at `at`, according to the floor and loans known now.
    pub fn usable(&self, at: Duration) -> Amount {
        self.borrowed
            .values()
            .fold(self.floor_at(at), |sum, b| sum.plus(b.amount_at(at)))
            .saturating_sub(self.ledger.total_outstanding(at))
    }

    /// Next time at which the floor or a borrowed amount ends.
    pub fn next_end(&self, now: Duration) -> Option<Duration> {
        self.borrowed
            .values()
            .flat_map(Borrowed::end_times)
            .chain([self.floor_until])
            .filter(|end| *end > now)
            .min()
    }

    /// Takes the token for one statement; false if there is none.
    pub fn take(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.bucket.take(now)
    }

    /// Time until the next token with the current share.
    pub fn time_until_token(&self) -> Option<Duration> {
        self.bucket.time_until_token()
    }

    /// Records the number of connections in use or waited for.
    pub fn set_connection_demand(&mut self, demand: u32, now: Duration) {
        if demand >= self.connection_demand.0
            || now > self.connection_demand.1 + CONNECTION_DEMAND_HOLD
        {
            self.connection_demand = (demand, now);
        }
    }

    /// Records the number of open connections; `None` if it is unknown.
    pub fn set_open(&mut self, open: Option<u32>) {
        self.open_connections = open;
    }

    pub fn open(&self) -> Option<u32> {
        self.open_connections
    }

    /// Number of connections above which the excess is closed by force. It drops `CLOSE_MARGIN`
    /// before a floor or loan ends, so that connections are closed in time.
    pub fn hard_limit(&self, now: Duration) -> u32 {
        let at_close = self.usable(now + CLOSE_MARGIN);
        self.usable(now).min(at_close).rate as u32
    }

    /// Number of connections that should be open at most. While other hosts need connections, it is
    /// capped at this host's demand, so that the pool closes idle connections and they can be lent.
    pub fn allowance(&self, now: Duration) -> u32 {
        let at = now + CLOSE_MARGIN;
        let planned = self
            .borrowed
            .values()
            .fold(self.floor_at(at).min(self.target_floor), |sum, b| {
                sum.plus(b.newest_at(at))
            })
            .saturating_sub(self.ledger.total_outstanding(now));
        let broker_asked = self
            .last_broker_request
            .is_some_and(|at| now < at + DEMAND_MAX_AGE);
        let keep = if broker_asked || self.has_borrowers(now) {
            self.connection_demand.0
        } else {
            u32::MAX
        };
        self.hard_limit(now).min(planned.rate as u32).min(keep)
    }

    pub(crate) fn own_demand(&mut self, now: Duration) -> f64 {
        match self.unit {
            Unit::Rate => self.demand.rate(now),
            Unit::Connections => f64::from(self.connection_demand.0),
        }
    }

    /// Demand of this host that the unlent part of its floor does not cover.
    pub fn shortfall(&mut self, now: Duration) -> f64 {
        let lent = self.ledger.total_outstanding(now).rate;
        let own = (self.floor_at(now).rate - lent).max(0.0);
        let shortfall = self.own_demand(now) - own;
        if self.needs_burst(now) {
            return shortfall.max(MIN_SHORTFALL * 2.0);
        }
        if shortfall > MIN_SHORTFALL {
            shortfall
        } else {
            0.0
        }
    }

    /// Whether statements wait and the usable burst is below one statement, with which nothing is
    /// ever admitted.
    fn needs_burst(&self, now: Duration) -> bool {
        self.unit == Unit::Rate && self.demand.waiting() > 0 && self.usable(now).burst < 1.0
    }

    /// Amount currently borrowed from a lender.
    pub fn loan_from(&self, from: &HostId, now: Duration) -> Amount {
        self.borrowed
            .get(from)
            .map_or(Amount::ZERO, |b| b.amount_at(now))
    }

    /// Time and demand of the latest request to `from`.
    pub fn last_request(&self, from: &HostId) -> Option<(Duration, Amount)> {
        let loan = self.borrowed.get(from)?;
        Some((loan.last_sent?, loan.last_demand))
    }

    /// Whether a request was sent to a lender since its last answer.
    pub(crate) fn awaits_answer(&self, from: &HostId) -> bool {
        self.borrowed.get(from).is_some_and(Borrowed::awaits_answer)
    }

    /// Whether a lender leaves this host's requests unanswered.
    pub fn is_silent(&self, from: &str, now: Duration) -> bool {
        let loan = self.borrowed.get(from);
        loan.is_some_and(|b| b.is_silent(now))
    }

    /// Builds a request to a lender.
    pub fn request(
        &mut self,
        from: &HostId,
        id: LoanId,
        demand: Amount,
        now: Duration,
    ) -> LoanRequest {
        self.advance(now);
        let loan = self.borrowed.entry(from.clone()).or_default();
        loan.request(id, demand, now)
    }

    /// Processes a lender's answer.
    pub fn on_grant(&mut self, from: &HostId, grant: &LoanGrant, now: Duration) {
        self.advance(now);
        if let Some(loan) = self.borrowed.get_mut(from) {
            loan.on_grant(grant, now);
        }
        self.advance(now);
    }

    /// Whether another host has recently requested a loan from this one.
    pub fn has_borrowers(&self, now: Duration) -> bool {
        self.borrower_demands
            .values()
            .any(|(demand, at)| now < *at + DEMAND_MAX_AGE && demand.rate > 0.0)
    }
}
