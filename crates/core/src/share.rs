//! One limit on one host: the floor of its seat, what it borrowed and what it lent.
//!
//! At any time a host may use its floor, plus what it borrowed, less what it lent. Summed over
//! all hosts this never exceeds the limit. The same type serves a holder that lends its unused
//! floor, the pooling host that lends it on, and the borrower.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::amount::Amount;
use crate::bucket::Bucket;
use crate::demand::Demand;
use crate::ids::HostId;
use crate::ids::LoanId;
use crate::loan::Borrowed;
use crate::loan::Ledger;
use crate::loan::LoanGrant;
use crate::loan::LoanRequest;

/// Longest loan from a holder to the pooling host.
pub const HOLDER_LOAN: Duration = Duration::from_millis(2_000);
/// A borrower that has not asked for this long counts as having no demand.
pub(crate) const DEMAND_AGE: Duration = Duration::from_millis(700);
/// How long a past need for connections counts: opening one takes about 12 ms, so connections are
/// not given up between two statements.
const NEED_HOLD: Duration = Duration::from_secs(1);
/// Time that a pool has to close connections before the loan that allowed them ends.
pub const CLOSE_MARGIN: Duration = Duration::from_millis(200);
/// Margin of a holder's demand below which nothing is lent or borrowed.
const WANT_MIN: f64 = 1e-3;

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Statements per second and burst.
    Rate,
    /// Connections.
    Whole,
}

/// State of one limit on one host.
#[derive(Debug)]
pub struct Share {
    pub(crate) unit: Unit,
    pub(crate) floor: Amount,
    pub(crate) floor_until: Duration,
    /// Smaller floor that is not in force yet because more is still in use or lent.
    pub(crate) target: Amount,
    pub(crate) borrowed: BTreeMap<HostId, Borrowed>,
    pub(crate) ledger: Ledger,
    pub(crate) wants: BTreeMap<HostId, (Amount, Duration)>,
    pub(crate) bucket: Bucket,
    pub demand: Demand,
    /// Highest number of connections in use and waited for in the last `NEED_HOLD`, and when.
    pub(crate) need: (u32, Duration),
    /// Connections that are open, busy or idle; none while it is unknown.
    pub(crate) open: Option<u32>,
    pub(crate) recalled: Option<Duration>,
    pub(crate) last: Duration,
}

impl Share {
    pub fn new(unit: Unit, now: Duration) -> Self {
        Self {
            unit,
            floor: Amount::ZERO,
            floor_until: Duration::ZERO,
            target: Amount::ZERO,
            borrowed: BTreeMap::new(),
            ledger: Ledger::default(),
            wants: BTreeMap::new(),
            bucket: Bucket::empty(now),
            demand: Demand::default(),
            need: (0, now),
            open: Some(0),
            recalled: None,
            last: now,
        }
    }

    /// Brings the state to `now`. Loans that ended in between, for instance while the process was
    /// paused, stop filling the bucket at their end and not at `now`.
    pub fn advance(&mut self, now: Duration) {
        let mut ends: Vec<Duration> = self
            .borrowed
            .values()
            .flat_map(Borrowed::ends)
            .chain(self.ledger.ends())
            .chain([self.floor_until])
            .filter(|end| *end > self.last && *end < now)
            .collect();
        ends.sort_unstable();
        for end in ends {
            self.bucket.resize(self.usable(end), end);
        }
        self.last = self.last.max(now);
        self.ledger.expire(now);
        self.settle(now);
        self.bucket.resize(self.usable(now), now);
    }

    /// Sets the floor, valid until `until`. False while a smaller floor cannot be taken yet.
    pub fn set_floor(&mut self, floor: Amount, until: Duration, now: Duration) -> bool {
        self.advance(now);
        self.target = floor;
        self.floor_until = until;
        self.advance(now);
        self.floor == floor
    }

    /// Extends a floor that has not changed. False if a change is still to be taken, for which
    /// `set_floor` is needed.
    pub fn extend_floor(&mut self, until: Duration, now: Duration) -> bool {
        if self.floor != self.target {
            return false;
        }
        if now >= self.floor_until {
            self.advance(now);
        }
        self.floor_until = until;
        true
    }

    /// Forgets lenders that are not kept and whose loans have ended.
    pub fn retain(&mut self, keep: impl Fn(&HostId) -> bool, now: Duration) {
        self.borrowed
            .retain(|host, loan| keep(host) || loan.ends().any(|end| end > now));
    }

    /// Whether nothing was borrowed or lent lately.
    pub fn is_idle(&self, now: Duration) -> bool {
        let recent = |b: &Borrowed| b.sent.is_some_and(|at| now < at + HOLDER_LOAN);
        self.ledger.is_empty() && !self.borrowed.values().any(recent)
    }

    fn settle(&mut self, now: Duration) {
        if self.floor != self.target {
            let lost = self.floor.saturating_sub(self.target);
            if lost.is_zero() || self.floor_until <= now || self.can_lose(lost, now) {
                self.floor = self.target;
            }
        }
        let mut hosts: Vec<HostId> = self.borrowed.keys().cloned().collect();
        hosts.retain(|h| self.borrowed[h].amount_at(now) != Amount::ZERO);
        for host in hosts {
            let spare = self.spare(now);
            if let Some(loan) = self.borrowed.get_mut(&host) {
                loan.settle(now, |lost| lost.is_within(spare));
            }
        }
    }

    fn can_lose(&self, lost: Amount, now: Duration) -> bool {
        lost.is_within(self.spare(now))
    }

    /// What is neither lent nor occupied by open connections.
    fn spare(&self, now: Duration) -> Amount {
        self.usable(now).saturating_sub(self.occupied())
    }

    pub(crate) fn occupied(&self) -> Amount {
        match (self.unit, self.open) {
            (Unit::Rate, _) => Amount::ZERO,
            (Unit::Whole, Some(open)) => Amount::whole(open),
            // Without a report every connection may be open.
            (Unit::Whole, None) => Amount::whole(u32::MAX),
        }
    }

    fn floor_at(&self, at: Duration) -> Amount {
        if at < self.floor_until {
            self.floor
        } else {
            Amount::ZERO
        }
    }

    /// What may be used on this host at `at`, by what is known now.
    pub fn usable(&self, at: Duration) -> Amount {
        self.borrowed
            .values()
            .fold(self.floor_at(at), |sum, b| sum.plus(b.amount_at(at)))
            .saturating_sub(self.ledger.total(at))
    }

    /// When the floor or a loan ends next, if one does.
    pub fn next_end(&self, now: Duration) -> Option<Duration> {
        self.borrowed
            .values()
            .flat_map(Borrowed::ends)
            .chain([self.floor_until])
            .filter(|end| *end > now)
            .min()
    }

    /// Takes one statement's token.
    pub fn take(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.bucket.take(now)
    }

    /// Time until the next token with the present share.
    pub fn wait(&self) -> Option<Duration> {
        self.bucket.wait()
    }

    /// Records the connections in use and waited for.
    pub fn set_need(&mut self, need: u32, now: Duration) {
        if need >= self.need.0 || now > self.need.1 + NEED_HOLD {
            self.need = (need, now);
        }
    }

    /// Records the pool's count of open connections; none makes it unknown.
    pub fn set_open(&mut self, open: Option<u32>) {
        self.open = open;
    }

    pub fn open(&self) -> Option<u32> {
        self.open
    }

    /// Connections that may be open without any being closed by force. It falls `CLOSE_MARGIN`
    /// before a floor or loan ends, so that they are closed in time.
    pub fn bound(&self, now: Duration) -> u32 {
        let later = self.usable(now + CLOSE_MARGIN);
        self.usable(now).min(later).rate as u32
    }

    /// Connections that should be open at most. While other hosts want connections it is no
    /// more than this host needs, so that the pool closes idle ones and they can be lent.
    pub fn allowance(&self, now: Duration) -> u32 {
        let at = now + CLOSE_MARGIN;
        let planned = self
            .borrowed
            .values()
            .fold(self.floor_at(at).min(self.target), |sum, b| {
                sum.plus(b.newest_at(at))
            })
            .saturating_sub(self.ledger.total(now));
        let recalled = self.recalled.is_some_and(|at| now < at + DEMAND_AGE);
        let keep = if recalled || self.has_borrowers(now) {
            self.need.0
        } else {
            u32::MAX
        };
        self.bound(now).min(planned.rate as u32).min(keep)
    }

    pub(crate) fn needed(&mut self, now: Duration) -> f64 {
        match self.unit {
            Unit::Rate => self.demand.rate(now),
            Unit::Whole => f64::from(self.need.0),
        }
    }

    /// What this host wants beyond its own floor.
    pub fn want(&mut self, now: Duration) -> f64 {
        let lent = self.ledger.total(now).rate;
        let own = (self.floor_at(now).rate - lent).max(0.0);
        let want = self.needed(now) - own;
        if self.waits_for_burst(now) {
            return want.max(WANT_MIN * 2.0);
        }
        if want > WANT_MIN { want } else { 0.0 }
    }

    /// A floor whose burst is below one statement never admits anything by itself.
    fn waits_for_burst(&self, now: Duration) -> bool {
        self.unit == Unit::Rate && self.demand.waiting() > 0 && self.usable(now).burst < 1.0
    }

    /// Loan in use from one lender.
    pub fn loan(&self, from: &HostId, now: Duration) -> Amount {
        self.borrowed
            .get(from)
            .map_or(Amount::ZERO, |b| b.amount_at(now))
    }

    /// When this host last asked `from`, and for how much.
    pub fn last_request(&self, from: &HostId) -> Option<(Duration, Amount)> {
        let loan = self.borrowed.get(from)?;
        Some((loan.sent?, loan.want))
    }

    /// Prepares a request to a lender.
    pub fn request(
        &mut self,
        from: &HostId,
        id: LoanId,
        want: Amount,
        now: Duration,
    ) -> LoanRequest {
        self.advance(now);
        let loan = self.borrowed.entry(from.clone()).or_default();
        loan.request(id, want, now)
    }

    /// Takes a lender's answer.
    pub fn on_grant(&mut self, from: &HostId, grant: &LoanGrant, now: Duration) {
        self.advance(now);
        if let Some(loan) = self.borrowed.get_mut(from) {
            loan.on_grant(grant, now);
        }
        self.advance(now);
    }

    /// Whether another host has asked this one for a loan recently.
    pub fn has_borrowers(&self, now: Duration) -> bool {
        self.wants
            .values()
            .any(|(want, at)| now < *at + DEMAND_AGE && want.rate > 0.0)
    }
}
