//! Seat and limits of one host, which together decide what the host may admit.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use crate::amount::Amount;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LoanId;
use crate::ids::Revision;
use crate::limit::LimitId;
use crate::loan::LoanGrant;
use crate::loan::LoanRequest;
use crate::message::Message;
use crate::seat::LEASE_DURATION;
use crate::seat::SeatState;
use crate::seat_table::SeatTable;
use crate::seat_update::SeatUpdate;
use crate::seat_update::SeatUpdatePlanner;
use crate::share::Share;

/// Interval between heartbeats to the same peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How limits are divided between hosts. All modes but `Loans` are baselines for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Division {
    /// Each seat owns an equal floor, and unused parts of floors are lent to other hosts.
    #[default]
    Loans,
    /// Each seat owns 1/N of the limit, and nothing is lent.
    Static,
}

/// Condition under which a holder may use its floor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SeatRule {
    /// A majority of the seated hosts has granted leases.
    #[default]
    #[serde(rename = "vouches")]
    MajorityLease,
    /// The store answered within the length of a lease. This is a baseline for comparison, with
    /// which an outage of the store stops the host.
    StoreLease,
}

/// A message to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    pub to: HostId,
    pub message: Message,
}

/// Total and local share of one limit.
#[derive(Debug)]
pub(crate) struct LimitEntry {
    pub(crate) total: Amount,
    pub(crate) share: Share,
    /// When a host, this one included, last wanted to borrow from this limit.
    pub(crate) last_borrow_demand: Option<Duration>,
}

/// Decision logic for one host, driven by messages, ticks and the configuration.
#[derive(Debug)]
pub struct Coordinator {
    pub(crate) seat: SeatState,
    planner: SeatUpdatePlanner,
    division: Division,
    seat_rule: SeatRule,
    pub(crate) limits: BTreeMap<LimitId, LimitEntry>,
    /// When the last heartbeat was sent to each peer.
    peers: BTreeMap<HostId, Option<Duration>>,
    store_lease_until: Duration,
    pub(crate) next_id: LoanId,
    /// Rank, number of seats and agreement for which the floors were last set; the outer `None`
    /// forces an update.
    applied_floor: Option<Option<(usize, usize, bool)>>,
}

impl Coordinator {
    pub fn new(host: HostId, incarnation: Incarnation, division: Division, now: Duration) -> Self {
        Self {
            seat: SeatState::new(host, incarnation, now),
            planner: SeatUpdatePlanner::default(),
            division,
            seat_rule: SeatRule::default(),
            limits: BTreeMap::new(),
            peers: BTreeMap::new(),
            store_lease_until: Duration::ZERO,
            // Differs between runs, so that a delayed answer to an earlier run matches no request.
            next_id: incarnation >> 24,
            applied_floor: None,
        }
    }

    /// Sets the condition under which this host may use its floor.
    pub fn set_seat_rule(&mut self, seat_rule: SeatRule) {
        self.seat_rule = seat_rule;
    }

    /// Replaces the limits. Limits that already existed keep their loans.
    pub fn set_limits(&mut self, totals: &BTreeMap<LimitId, Amount>, now: Duration) {
        self.limits.retain(|id, _| totals.contains_key(id));
        for (id, total) in totals {
            let entry = self.limits.entry(id.clone()).or_insert_with(|| LimitEntry {
                total: *total,
                share: Share::new(id.unit(), now),
                last_borrow_demand: None,
            });
            entry.total = *total;
        }
        self.applied_floor = None;
        self.update_floors(now);
    }

    /// Replaces the peers to which heartbeats are sent. The state of any other host is dropped,
    /// unless the host holds a seat or its loan has not ended.
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

    /// Applies a seat table from the store or a peer.
    pub fn on_seat_table(&mut self, table: &SeatTable, now: Duration) {
        self.seat.on_seat_table(table, now);
        self.update_floors(now);
    }

    /// Records that the store answered a call that started at `begun`.
    pub fn on_store_answer(&mut self, begun: Duration) {
        self.store_lease_until = self.store_lease_until.max(begun + LEASE_DURATION);
    }

    /// Returns the change of the seat table to propose now, if any.
    pub fn propose_seat_update(&mut self, now: Duration) -> Option<SeatUpdate> {
        self.seat.tick(now);
        self.planner.plan(&self.seat, now)
    }

    pub fn seat(&self) -> &SeatState {
        &self.seat
    }

    /// Whether the store answered, or a majority of the seated hosts granted leases, within the
    /// length of a lease. Otherwise this host admits nothing.
    pub fn is_connected(&self, now: Duration) -> bool {
        let by_majority = self.seat_rule == SeatRule::MajorityLease;
        now < self.store_lease_until || (by_majority && self.seat.has_majority_lease(now))
    }

    /// Takes the token for one statement. Returns false if there is none or this host may not admit
    /// statements.
    pub fn take(&mut self, limit: &LimitId, now: Duration) -> bool {
        let is_connected = self.is_connected(now);
        self.share(limit, now)
            .is_some_and(|share| is_connected && share.take(now))
    }

    /// Returns this host's share of a limit, updated to `now`.
    pub fn share(&mut self, limit: &LimitId, now: Duration) -> Option<&mut Share> {
        let entry = self.limits.get_mut(limit)?;
        entry.share.advance(now);
        Some(&mut entry.share)
    }

    /// Returns the total of a limit over all hosts.
    pub fn total(&self, limit: &LimitId) -> Option<Amount> {
        self.limits.get(limit).map(|e| e.total)
    }

    pub fn limits(&self) -> impl Iterator<Item = &LimitId> {
        self.limits.keys()
    }

    /// Number of connections to a member that this host should have open at most.
    pub fn allowance(&mut self, limit: &LimitId, now: Duration) -> u32 {
        if !self.is_connected(now) {
            return 0;
        }
        self.share(limit, now).map_or(0, |s| s.allowance(now))
    }

    /// Number of connections to a member above which the excess must be closed by force.
    pub fn hard_limit(&mut self, limit: &LimitId, now: Duration) -> u32 {
        self.share(limit, now).map_or(0, |s| s.hard_limit(now))
    }

    /// Records the number of open connections. If the number grows beyond the allowance, returns
    /// false and records nothing. A pool calls this before it opens a connection.
    pub fn set_open(&mut self, limit: &LimitId, open: u32, now: Duration) -> bool {
        let is_connected = self.is_connected(now);
        let Some(share) = self.share(limit, now) else {
            return false;
        };
        let known = share.open().unwrap_or(u32::MAX);
        let usable = if is_connected {
            share.allowance(now)
        } else {
            0
        };
        if open > known && open > usable {
            return false;
        }
        share.set_open(Some(open));
        self.update_floors(now);
        true
    }

    /// Processes a message and returns the answers.
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
                self.update_floors(now);
                return self.newer_seat_table(from, heartbeat.table_version);
            }
            Message::Seats(table) => {
                self.on_seat_table(table, now);
                return Vec::new();
            }
            Message::BrokerGrant(grants) | Message::LoanGrant(grants) => {
                for (limit, grant) in grants {
                    if let Some(share) = self.share(limit, now) {
                        share.on_grant(from, grant, now);
                    }
                }
                self.update_floors(now);
                return Vec::new();
            }
            Message::BrokerRequest(requests) => {
                let grants = self.grant_loans(requests, now, |share, request| {
                    share.on_broker_request(from, incarnation, request, now)
                });
                Message::BrokerGrant(grants)
            }
            Message::LoanRequest(requests) => {
                for (limit, _) in requests {
                    if let Some(entry) = self.limits.get_mut(limit) {
                        entry.last_borrow_demand = Some(now);
                    }
                }
                let grants = self.grant_loans(requests, now, |share, request| {
                    share.on_borrow_request(from, incarnation, request, now)
                });
                Message::LoanGrant(grants)
            }
        };
        let (Message::BrokerGrant(grants) | Message::LoanGrant(grants)) = &answer else {
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

    fn newer_seat_table(&self, to: &HostId, known: Revision) -> Vec<Outgoing> {
        match self.seat.table() {
            Some(table) if table.version > known => vec![Outgoing {
                to: to.clone(),
                message: Message::Seats(table.clone()),
            }],
            _ => Vec::new(),
        }
    }

    fn grant_loans(
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

    /// Advances all state to `now` and returns the messages that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        self.seat.tick(now);
        self.update_floors(now);
        let mut out = self.heartbeats(now);
        if self.division == Division::Loans {
            self.request_loans(now, &mut out);
        }
        out
    }

    fn heartbeats(&mut self, now: Duration) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for (to, sent) in &mut self.peers {
            if sent.is_some_and(|at| now < at + HEARTBEAT_INTERVAL) {
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

    /// Sets the floors according to the known seat table, and confirms the table once all of them
    /// are in force.
    fn update_floors(&mut self, now: Duration) {
        let floor = self.seat.floor();
        let until = match (floor, self.seat_rule) {
            (None, _) => now,
            (Some(f), SeatRule::MajorityLease) => f.until,
            (Some(f), SeatRule::StoreLease) => f.until.min(self.store_lease_until),
        };
        let seat_floor = floor.map(|f| (f.rank, f.count, f.agreed));
        let changed = self.applied_floor != Some(seat_floor);
        self.applied_floor = Some(seat_floor);
        let mut in_force = true;
        for (id, entry) in &mut self.limits {
            if !changed && entry.share.extend_floor(until, now) {
                continue;
            }
            let amount = seat_floor.map_or(Amount::ZERO, |(rank, count, agreed)| {
                id.floor(entry.total, rank, count, agreed)
            });
            in_force &= entry.share.set_floor(amount, until, now);
        }
        let known = self.seat.table().map_or(0, |t| t.version);
        if in_force && known > self.seat.confirmed() {
            self.seat.confirm(now);
        }
    }
}
