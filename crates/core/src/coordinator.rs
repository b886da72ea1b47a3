//! Seat and limits of one host: everything that decides what the host may admit.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use crate::amount::Amount;
use crate::claim::Claim;
use crate::claim::Claimant;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LoanId;
use crate::ids::Revision;
use crate::limit::LimitId;
use crate::loan::LoanGrant;
use crate::loan::LoanRequest;
use crate::message::Message;
use crate::seat::SeatState;
use crate::seat::VOUCH;
use crate::seat_table::SeatTable;
use crate::share::Share;

/// Time between two heartbeats to the same peer.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// How limits are divided; all but `Loans` are baselines for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Division {
    /// Floors, with loans of what is unused.
    #[default]
    Loans,
    /// Each seat has 1/N and nothing is lent.
    Static,
}

/// What lets a holder use its floor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SeatRule {
    /// Vouches of a majority.
    #[default]
    Vouches,
    /// Contact with the store within one vouch, as the baseline that an outage stops.
    StoreLease,
}

/// A message to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    pub to: HostId,
    pub message: Message,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) total: Amount,
    pub(crate) share: Share,
    pub(crate) wanted: Option<Duration>,
}

/// Decides for one host; driven by messages, ticks and the configuration.
#[derive(Debug)]
pub struct Coordinator {
    pub(crate) seat: SeatState,
    claimant: Claimant,
    division: Division,
    seats: SeatRule,
    pub(crate) limits: BTreeMap<LimitId, Entry>,
    peers: BTreeMap<HostId, Option<Duration>>,
    store_until: Duration,
    pub(crate) next_id: LoanId,
    /// Rank, number of seats and agreement for which the floors were last set.
    shape: Option<Option<(usize, usize, bool)>>,
}

impl Coordinator {
    pub fn new(host: HostId, incarnation: Incarnation, division: Division, now: Duration) -> Self {
        Self {
            seat: SeatState::new(host, incarnation, now),
            claimant: Claimant::default(),
            division,
            seats: SeatRule::default(),
            limits: BTreeMap::new(),
            peers: BTreeMap::new(),
            store_until: Duration::ZERO,
            // Distinct between two runs, so that late answers to an earlier run match nothing.
            next_id: incarnation >> 24,
            shape: None,
        }
    }

    /// Chooses what lets this host use its floor.
    pub fn set_rule(&mut self, seats: SeatRule) {
        self.seats = seats;
    }

    /// Replaces the limits. Existing ones keep their loans.
    pub fn set_limits(&mut self, totals: &BTreeMap<LimitId, Amount>, now: Duration) {
        self.limits.retain(|id, _| totals.contains_key(id));
        for (id, total) in totals {
            let entry = self.limits.entry(id.clone()).or_insert_with(|| Entry {
                total: *total,
                share: Share::new(id.unit(), now),
                wanted: None,
            });
            entry.total = *total;
        }
        self.shape = None;
        self.refresh(now);
    }

    /// Replaces the peers to which heartbeats go. What is known of other hosts is forgotten, unless
    /// they hold a seat or a loan.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = HostId>, now: Duration) {
        let old = std::mem::take(&mut self.peers);
        self.peers = peers
            .into_iter()
            .filter(|p| *p != self.seat.host)
            .map(|p| {
                let sent = old.get(&p).copied().flatten();
                (p, sent)
            })
            .collect();
        let peers = &self.peers;
        self.seat.retain(|host| peers.contains_key(host));
        for entry in self.limits.values_mut() {
            entry.share.retain(|host| peers.contains_key(host), now);
        }
    }

    /// Takes the seat table from the store or from a peer.
    pub fn on_table(&mut self, table: &SeatTable, now: Duration) {
        self.seat.on_table(table, now);
        self.refresh(now);
    }

    /// Records that the store answered a call that began at `begun`.
    pub fn on_store(&mut self, begun: Duration) {
        self.store_until = self.store_until.max(begun + VOUCH);
    }

    /// Change of the seat table to make now, if any.
    pub fn claim(&mut self, now: Duration) -> Option<Claim> {
        self.seat.tick(now);
        self.claimant.claim(&self.seat, now)
    }

    pub fn seat(&self) -> &SeatState {
        &self.seat
    }

    /// Whether the store or a majority of the seated hosts was reached within one vouch.
    pub fn in_touch(&self, now: Duration) -> bool {
        let vouches = self.seats == SeatRule::Vouches;
        now < self.store_until || (vouches && self.seat.is_vouched(now))
    }

    /// Takes one statement's token of an organisation.
    pub fn take(&mut self, limit: &LimitId, now: Duration) -> bool {
        let in_touch = self.in_touch(now);
        self.share(limit, now)
            .is_some_and(|share| in_touch && share.take(now))
    }

    /// The share of one limit, with the floor brought to `now`.
    pub fn share(&mut self, limit: &LimitId, now: Duration) -> Option<&mut Share> {
        let entry = self.limits.get_mut(limit)?;
        entry.share.advance(now);
        Some(&mut entry.share)
    }

    /// The whole limit.
    pub fn total(&self, limit: &LimitId) -> Option<Amount> {
        self.limits.get(limit).map(|e| e.total)
    }

    pub fn limits(&self) -> impl Iterator<Item = &LimitId> {
        self.limits.keys()
    }

    /// Connections to a member that may be open on this host now.
    pub fn allowance(&mut self, limit: &LimitId, now: Duration) -> u32 {
        if !self.in_touch(now) {
            return 0;
        }
        self.share(limit, now).map_or(0, |s| s.allowance(now))
    }

    /// Connections to a member above which some must be closed by force.
    pub fn bound(&mut self, limit: &LimitId, now: Duration) -> u32 {
        self.share(limit, now).map_or(0, |s| s.bound(now))
    }

    /// Records the number of open connections; false, and nothing recorded, if that number is
    /// above what may be open. A pool asks before it opens one.
    pub fn set_open(&mut self, limit: &LimitId, open: u32, now: Duration) -> bool {
        let in_touch = self.in_touch(now);
        let Some(share) = self.share(limit, now) else {
            return false;
        };
        let known = share.open().unwrap_or(u32::MAX);
        let usable = if in_touch { share.allowance(now) } else { 0 };
        if open > known && open > usable {
            return false;
        }
        share.set_open(Some(open));
        self.refresh(now);
        true
    }

    /// Takes a message and returns the answers.
    pub fn on_message(
        &mut self,
        from: &HostId,
        incarnation: Incarnation,
        message: &Message,
        now: Duration,
    ) -> Vec<Outgoing> {
        let answer = match message {
            Message::Heartbeat(heartbeat) => {
                self.seat.on_heartbeat(from, incarnation, heartbeat, now);
                self.refresh(now);
                return self.newer_table(from, heartbeat.table);
            }
            Message::Seats(table) => {
                self.on_table(table, now);
                return Vec::new();
            }
            Message::LoanOffer(grants) | Message::LoanGrant(grants) => {
                for (limit, grant) in grants {
                    if let Some(share) = self.share(limit, now) {
                        share.on_grant(from, grant, now);
                    }
                }
                self.refresh(now);
                return Vec::new();
            }
            Message::LoanPool(requests) => {
                let grants = self.answer(requests, now, |share, request| {
                    share.on_pool_request(from, incarnation, request, now)
                });
                Message::LoanOffer(grants)
            }
            Message::LoanRequest(requests) => {
                for (limit, _) in requests {
                    if let Some(entry) = self.limits.get_mut(limit) {
                        entry.wanted = Some(now);
                    }
                }
                let grants = self.answer(requests, now, |share, request| {
                    share.on_borrow_request(from, incarnation, request, now)
                });
                Message::LoanGrant(grants)
            }
        };
        let (Message::LoanOffer(grants) | Message::LoanGrant(grants)) = &answer else {
            return Vec::new();
        };
        if grants.is_empty() {
            return Vec::new();
        }
        vec![Outgoing {
            to: from.clone(),
            message: answer,
        }]
    }

    fn newer_table(&self, to: &HostId, known: Revision) -> Vec<Outgoing> {
        match self.seat.table() {
            Some(table) if table.version > known => vec![Outgoing {
                to: to.clone(),
                message: Message::Seats(table.clone()),
            }],
            _ => Vec::new(),
        }
    }

    fn answer(
        &mut self,
        requests: &[(LimitId, LoanRequest)],
        now: Duration,
        mut lend: impl FnMut(&mut Share, &LoanRequest) -> Option<LoanGrant>,
    ) -> Vec<(LimitId, LoanGrant)> {
        if self.division == Division::Static {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for (limit, request) in requests {
            if let Some(share) = self.share(limit, now)
                && let Some(grant) = lend(share, request)
            {
                grants.push((limit.clone(), grant));
            }
        }
        grants
    }

    /// Brings everything to `now` and returns the messages that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        self.seat.tick(now);
        self.refresh(now);
        let mut out = self.heartbeats(now);
        if self.division == Division::Loans {
            self.loans(now, &mut out);
        }
        out
    }

    fn heartbeats(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for (to, sent) in &mut self.peers {
            if sent.is_some_and(|at| now < at + HEARTBEAT) {
                continue;
            }
            *sent = Some(now);
            self.next_id += 1;
            let heartbeat = self.seat.heartbeat(to, self.next_id, now);
            out.push(Outgoing {
                to: to.clone(),
                message: Message::Heartbeat(heartbeat),
            });
        }
        out
    }

    /// Sets the floors of the known seat table, and confirms it once they are in force.
    fn refresh(&mut self, now: Duration) {
        let floor = self.seat.floor();
        let until = match (floor, self.seats) {
            (None, _) => now,
            (Some(f), SeatRule::Vouches) => f.until,
            (Some(f), SeatRule::StoreLease) => f.until.min(self.store_until),
        };
        let shape = floor.map(|f| (f.rank, f.count, f.settled));
        let changed = self.shape != Some(shape);
        self.shape = Some(shape);
        let mut in_force = true;
        for (id, entry) in &mut self.limits {
            if !changed && entry.share.extend_floor(until, now) {
                continue;
            }
            let amount = shape.map_or(Amount::ZERO, |(rank, count, settled)| {
                id.floor(entry.total, rank, count, settled)
            });
            in_force &= entry.share.set_floor(amount, until, now);
        }
        let known = self.seat.table().map_or(0, |t| t.version);
        if in_force && known > self.seat.confirmed() {
            self.seat.confirm(now);
        }
    }
}
