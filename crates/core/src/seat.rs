//! Leases, reassignment and addition of seats.
//!
//! The holder of a seat may use its floor, its guaranteed part of every limit, while a majority of
//! the seated hosts grants it a lease. The holder counts a lease from when it sent its heartbeat,
//! and the granting host counts from when it answered, so a lease always expires at the holder
//! first. A seat is reassigned, or its holder's confirmation no longer waited for, only once the
//! holder is fenced: a majority has promised not to grant it further leases, and every lease
//! granted before that promise has expired.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::heartbeat::Heartbeat;
use crate::heartbeat::LeaseRefusal;
use crate::ids::HeartbeatId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::seat_peer::SeatPeer;
use crate::seat_table::SeatTable;
use crate::share::HOLDER_LOAN_MAX;

/// Length of a lease. It spans four heartbeats, so that two of them can be lost without harm.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

type Holder = (HostId, Incarnation);

/// State of one host's seat and of the leases it has and grants.
#[derive(Debug)]
pub struct SeatState {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    started: Duration,
    pub(crate) table: Option<SeatTable>,
    confirmed: Revision,
    /// Table version in which this host's current seat was first seen, and the earliest time at
    /// which its floor may be used.
    pub(crate) activation: Option<(Revision, Duration)>,
    pub(crate) active: bool,
    agreed: bool,
    floor_until: Duration,
    pub(crate) peers: BTreeMap<HostId, SeatPeer>,
    /// When this host last granted a lease to a holder, or first saw its seat.
    last_granted: BTreeMap<Holder, Duration>,
    /// When this host promised not to grant a holder further leases, and the table version to which
    /// the promise applies.
    refusals: BTreeMap<Holder, (Duration, Revision)>,
    /// Versions that a holder must have confirmed before it is granted a lease again.
    required_versions: BTreeMap<HostId, Revision>,
}

impl SeatState {
    pub fn new(host: HostId, incarnation: Incarnation, now: Duration) -> Self {
        Self {
            host,
            incarnation,
            started: now,
            table: None,
            confirmed: 0,
            activation: None,
            active: false,
            agreed: false,
            floor_until: Duration::ZERO,
            peers: BTreeMap::new(),
            last_granted: BTreeMap::new(),
            refusals: BTreeMap::new(),
            required_versions: BTreeMap::new(),
        }
    }

    /// Applies a seat table from the store or a peer, if it is newer than the known one.
    pub fn on_seat_table(&mut self, table: &SeatTable, now: Duration) {
        let old = self.table.as_ref();
        if old.is_some_and(|t| t.version >= table.version) {
            return;
        }
        let seated = table.holds(&self.host, self.incarnation);
        if !seated {
            self.activation = None;
            self.active = false;
        } else if self.activation.is_none() {
            // A previous run of this host may have lent its floor just before it ended.
            let may_have_lent = old.is_none_or(|t| t.seat_of(&self.host).is_some());
            let first_seat = table.seats.len() == 1 && old.is_none();
            let from = if may_have_lent && !first_seat {
                self.started + HOLDER_LOAN_MAX
            } else {
                now
            };
            self.activation = Some((table.version, from));
        }
        if old.is_none_or(|t| t.seat_numbers() != table.seat_numbers()) {
            self.agreed = false;
        }
        for seat in &table.seats {
            let holder = (seat.host.clone(), seat.incarnation);
            self.last_granted.entry(holder).or_insert(now);
        }
        self.last_granted
            .retain(|(host, inc), _| table.holds(host, *inc));
        let peers = &self.peers;
        let last_granted = &mut self.last_granted;
        self.refusals.retain(|holder, refusal| {
            let (host, incarnation) = holder;
            refusal.1 = table.version;
            let recently_heard = peers.get(host).is_some_and(|p| {
                p.incarnation == *incarnation && now < p.last_heard + LEASE_DURATION
            });
            // The promise can be dropped under a newer table: an update that relied on it has
            // either failed or is part of this table.
            let kept = table.holds(host, *incarnation) && !recently_heard;
            if !kept && let Some(at) = last_granted.get_mut(holder) {
                *at = now;
            }
            kept
        });
        self.required_versions.extend(
            self.refusals
                .keys()
                .map(|(host, _)| (host.clone(), table.version)),
        );
        self.table = Some(table.clone());
    }

    /// Records that this host applies the floors of the known table.
    pub fn confirm(&mut self, now: Duration) {
        if let Some(table) = &self.table {
            self.confirmed = table.version;
        }
        self.tick(now);
    }

    pub fn confirmed(&self) -> Revision {
        self.confirmed
    }

    pub fn table(&self) -> Option<&SeatTable> {
        self.table.as_ref()
    }

    /// Processes a heartbeat from a peer.
    pub fn on_heartbeat(
        &mut self,
        from: &HostId,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        now: Duration,
    ) {
        let peer = self.peers.entry(from.clone()).or_default();
        if !peer.accept(incarnation, heartbeat, now) {
            return;
        }
        self.withdraw_refusal((from.clone(), incarnation), now);
        self.tick(now);
    }

    /// Withdraws the promise not to grant leases to a holder whose heartbeats arrive again. Once
    /// the promise is effective, another host may have relied on it, so only a newer table ends it.
    fn withdraw_refusal(&mut self, holder: Holder, now: Duration) {
        let since = self.refusals.get(&holder).map(|(since, _)| *since);
        if since.is_some_and(|since| now < since + LEASE_DURATION) {
            self.refusals.remove(&holder);
            self.last_granted.insert(holder, now);
        }
    }

    /// Forgets peers that `keep` rejects and that hold no seat.
    pub fn retain(&mut self, keep: impl Fn(&HostId) -> bool) {
        let table = self.table.as_ref();
        self.peers
            .retain(|host, _| keep(host) || table.is_some_and(|t| t.seat_of(host).is_some()));
    }

    /// Builds a heartbeat to a peer. It grants the peer a lease, unless this host has promised not
    /// to or the peer has not confirmed the required table version.
    pub fn heartbeat(&mut self, to: &HostId, id: HeartbeatId, now: Duration) -> Heartbeat {
        self.tick(now);
        let refusals = self.own_refusals(now);
        let peer = self.peers.entry(to.clone()).or_default();
        let refused = refusals
            .iter()
            .any(|s| s.host == *to && s.incarnation == peer.incarnation);
        let required_version = self.required_versions.get(to).copied().unwrap_or(0);
        let mut echo = None;
        if !refused && peer.confirmed_version >= required_version {
            echo = peer.unanswered.take();
        }
        if echo.is_some() {
            self.last_granted
                .insert((to.clone(), peer.incarnation), now);
        }
        peer.on_sent(id, now);
        Heartbeat {
            id,
            echo,
            lease: LEASE_DURATION,
            table_version: self.table.as_ref().map_or(0, |t| t.version),
            confirmed_version: self.confirmed,
            refusals,
        }
    }

    fn own_refusals(&self, now: Duration) -> Vec<LeaseRefusal> {
        self.refusals
            .iter()
            .map(|((host, incarnation), (since, version))| LeaseRefusal {
                host: host.clone(),
                incarnation: *incarnation,
                version: *version,
                effective: now >= *since + LEASE_DURATION,
            })
            .collect()
    }

    /// Updates refusals, activation and the end of the floor to `now`.
    pub fn tick(&mut self, now: Duration) {
        let Some(table) = self.table.clone() else {
            return;
        };
        for seat in table.seats.iter().filter(|s| s.host != self.host) {
            let holder = (seat.host.clone(), seat.incarnation);
            let last_granted = self.last_granted.get(&holder).copied().unwrap_or(now);
            if now >= last_granted + LEASE_DURATION && !self.refusals.contains_key(&holder) {
                self.required_versions
                    .insert(seat.host.clone(), table.version);
                self.refusals.insert(holder, (now, table.version));
            }
        }
        if !table.holds(&self.host, self.incarnation) {
            return;
        }
        if let Some(until) = self.leased_until(&table, now) {
            // A lease that has been counted stays valid until it expires, because no host acts
            // against it before.
            self.floor_until = self.floor_until.max(until);
        }
        let Some((since_version, from)) = self.activation else {
            return;
        };
        let confirmed_by_all = |version: Revision, state: &Self| {
            let mut others = table.seats.iter().filter(|s| s.host != state.host);
            state.confirmed >= version
                && others.all(|s| {
                    state.peer_confirmed(&s.host, s.incarnation) >= version
                        || state.is_fenced(&s.host, s.incarnation, now)
                })
        };
        if !self.active && now >= from && confirmed_by_all(since_version, self) {
            self.active = true;
        }
        if !self.agreed && confirmed_by_all(table.version, self) {
            self.agreed = true;
        }
    }

    fn peer_confirmed(&self, host: &str, incarnation: Incarnation) -> Revision {
        self.peers
            .get(host)
            .filter(|p| p.incarnation == incarnation)
            .map_or(0, |p| p.confirmed_version)
    }

    /// End of the leases that a majority has granted to this host, if a majority has.
    ///
    /// No two hosts of that majority may refuse leases to each other, because a host that others
    /// refuse may have been replaced without knowing it. Of two such hosts the one with more
    /// conflicts is excluded, so that a single host that lost contact with all others does not
    /// exclude them.
    fn leased_until(&self, table: &SeatTable, now: Duration) -> Option<Duration> {
        let mut grantors: Vec<(Holder, &SeatPeer)> = table
            .seats
            .iter()
            .filter(|s| s.host != self.host)
            .map(|s| (s.host.clone(), s.incarnation))
            .filter(|holder| !self.refusals.contains_key(holder))
            .filter_map(|holder| Some((holder.clone(), self.peers.get(&holder.0)?)))
            .filter(|((_, run), peer)| peer.incarnation == *run && peer.lease_until > now)
            .collect();
        loop {
            let conflicts = |(holder, peer): &(Holder, &SeatPeer)| {
                let against = |p: &SeatPeer, h: &Holder| p.refuses_lease(&h.0, h.1);
                let others = grantors.iter().filter(|(h, _)| h != holder);
                others
                    .filter(|(h, p)| against(p, holder) || against(peer, h))
                    .count()
            };
            let worst = grantors.iter().map(conflicts).enumerate();
            match worst.max_by_key(|(_, count)| *count) {
                Some((index, count)) if count > 0 => grantors.remove(index),
                _ => break,
            };
        }
        let mut ends: Vec<Duration> = grantors.iter().map(|(_, p)| p.lease_until).collect();
        if table.holds(&self.host, self.incarnation) {
            ends.push(now + LEASE_DURATION);
        }
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(table.majority() - 1).copied()
    }

    /// Whether a holder is fenced: voters that make up a majority of the seats have promised not to
    /// grant it a lease under the current table, and every earlier lease has expired.
    pub fn is_fenced(&self, host: &str, incarnation: Incarnation, now: Duration) -> bool {
        let Some(table) = &self.table else {
            return false;
        };
        let promised = |refusals: &[LeaseRefusal]| {
            refusals.iter().any(|s| {
                s.host == host
                    && s.incarnation == incarnation
                    && s.version == table.version
                    && s.effective
            })
        };
        let own = self.own_refusals(now);
        let count = table
            .seats
            .iter()
            .filter(|s| s.voter)
            .filter(|s| {
                if s.host == self.host {
                    return s.incarnation == self.incarnation && promised(&own);
                }
                self.peers
                    .get(&s.host)
                    .is_some_and(|p| p.incarnation == s.incarnation && promised(&p.refusals))
            })
            .count();
        count >= table.majority()
    }

    /// Floor of this host's seat; `None` while it has none.
    pub fn floor(&self) -> Option<Floor> {
        let table = self.table.as_ref()?;
        if !self.active {
            return None;
        }
        Some(Floor {
            rank: table.rank(&self.host)?,
            count: table.seats.len(),
            agreed: self.agreed,
            until: self.floor_until,
        })
    }

    /// Whether this host currently has leases from a majority of the seated hosts.
    pub fn has_majority_lease(&self, now: Duration) -> bool {
        let table = self.table.as_ref();
        table.is_some_and(|t| self.leased_until(t, now).is_some())
    }

    /// Peers whose latest heartbeat is not older than the length of a lease.
    pub fn live_peers(&self, now: Duration) -> impl Iterator<Item = &HostId> {
        self.peers
            .iter()
            .filter(move |(_, p)| p.incarnation != 0 && now < p.last_heard + LEASE_DURATION)
            .map(|(host, _)| host)
    }
}

/// Determines the part of each limit that this host owns by its seat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Floor {
    pub rank: usize,
    pub count: usize,
    /// Whether all holders have confirmed the current seats.
    pub agreed: bool,
    /// When the leases behind the floor expire.
    pub until: Duration,
}
