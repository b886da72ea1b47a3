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
use crate::rendezvous;
use crate::renewal::borrow_due;
use crate::seat::SeatState;
use crate::seat::VOUCH;
use crate::seat_table::SeatTable;
use crate::share::Share;

/// Time between two heartbeats to the same peer.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// Time between two requests for unused floors. Three fit into a loan, since a loan that has less
/// than half its time left cannot be lent on.
const POOL: Duration = Duration::from_millis(500);
/// How long the pooling host goes on asking for unused floors after the last borrower asked.
const POOL_IDLE: Duration = Duration::from_secs(2);

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

/// A message to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    pub to: HostId,
    pub message: Message,
}

#[derive(Debug)]
struct Entry {
    total: Amount,
    share: Share,
    wanted: Option<Duration>,
}

/// Decides for one host; driven by messages, ticks and the configuration.
#[derive(Debug)]
pub struct Coordinator {
    seat: SeatState,
    claimant: Claimant,
    division: Division,
    limits: BTreeMap<LimitId, Entry>,
    peers: BTreeMap<HostId, Option<Duration>>,
    store_until: Duration,
    next_id: LoanId,
}

impl Coordinator {
    pub fn new(host: HostId, incarnation: Incarnation, division: Division, now: Duration) -> Self {
        Self {
            seat: SeatState::new(host, incarnation, now),
            claimant: Claimant::default(),
            division,
            limits: BTreeMap::new(),
            peers: BTreeMap::new(),
            store_until: Duration::ZERO,
            // Distinct between two runs, so that late answers to an earlier run match nothing.
            next_id: incarnation >> 24,
        }
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
        self.refresh(now);
    }

    /// Replaces the peers to which heartbeats go.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = HostId>) {
        let old = std::mem::take(&mut self.peers);
        self.peers = peers
            .into_iter()
            .filter(|p| *p != self.seat.host)
            .map(|p| {
                let sent = old.get(&p).copied().flatten();
                (p, sent)
            })
            .collect();
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
        now < self.store_until || self.seat.is_vouched(now)
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

    fn loans(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        let host = self.seat.host.clone();
        let live: Vec<HostId> = self.seat.live(now).cloned().collect();
        let mut borrows: BTreeMap<HostId, Vec<(LimitId, LoanRequest)>> = BTreeMap::new();
        let mut pools: BTreeMap<HostId, Vec<(LimitId, LoanRequest)>> = BTreeMap::new();
        for (limit, entry) in &mut self.limits {
            let share = &mut entry.share;
            let want = share.want(now);
            let hosts = live.iter().map(String::as_str).chain([host.as_str()]);
            let Some(owner) = rendezvous::owner(&limit.duty(), hosts).map(str::to_owned) else {
                continue;
            };
            if owner != host {
                if borrow_due(share, &owner, want, limit.unit(), now) {
                    self.next_id += 1;
                    let want = Amount::new(want, 0.0);
                    let request = share.request(&owner, self.next_id, want, now);
                    borrows
                        .entry(owner)
                        .or_default()
                        .push((limit.clone(), request));
                }
                continue;
            }
            if want > 0.0 {
                entry.wanted = Some(now);
            }
            if entry.wanted.is_none_or(|at| now >= at + POOL_IDLE) {
                continue;
            }
            for peer in &live {
                let due = share
                    .last_request(peer)
                    .is_none_or(|(at, _)| now >= at + POOL);
                if due {
                    self.next_id += 1;
                    let request = share.request(peer, self.next_id, Amount::ZERO, now);
                    pools
                        .entry(peer.clone())
                        .or_default()
                        .push((limit.clone(), request));
                }
            }
        }
        out.extend(borrows.into_iter().map(|(to, requests)| Outgoing {
            to,
            message: Message::LoanRequest(requests),
        }));
        out.extend(pools.into_iter().map(|(to, requests)| Outgoing {
            to,
            message: Message::LoanPool(requests),
        }));
    }

    /// Sets the floors of the known seat table, and confirms it once they are in force.
    fn refresh(&mut self, now: Duration) {
        let floor = self.seat.floor();
        let mut in_force = true;
        for (id, entry) in &mut self.limits {
            let (amount, until) = match floor {
                Some(f) => (id.floor(entry.total, f.rank, f.count, f.settled), f.until),
                None => (Amount::ZERO, now),
            };
            in_force &= entry.share.set_floor(amount, until, now);
        }
        let known = self.seat.table().map_or(0, |t| t.version);
        if in_force && known > self.seat.confirmed() {
            self.seat.confirm(now);
        }
    }
}
