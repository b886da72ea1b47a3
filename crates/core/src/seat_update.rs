//! Plans the changes that a host makes to the seat table by conditional update.
//!
//! The holder of a seat is fenced once a majority of the seats has promised not to grant it a lease
//! and all its earlier leases have expired; see [`SeatState::is_fenced`].

use std::time::Duration;

use crate::ids::HostId;
use crate::ids::Revision;
use crate::seat::SeatState;
use crate::seat_table::Seat;
use crate::seat_table::SeatTable;

/// Minimum number of seats that a removal leaves. With two seats, one failure would leave no
/// majority.
pub const MIN_SEATS: usize = 3;
/// How long a holder must have been fenced before its seat is removed. Until then a new host can
/// take over the seat, which does not change the floors of the other hosts.
pub const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// Minimum time between two rewrites of the table that allow peers to withdraw their refusals.
pub const REWRITE_INTERVAL: Duration = Duration::from_secs(5);

/// Reason for a change of the seat table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// There is no table yet.
    Create,
    /// The previous run of this host held the seat.
    Restart,
    /// The holder is fenced, and this host takes over its seat.
    TakeOver,
    /// There is no seat to take over, so one is added.
    Grow,
    /// This host's floor is in force.
    Activate,
    /// Peers that receive this host's heartbeats again may withdraw their refusals only under a
    /// newer version.
    Rewrite,
    /// The holder is fenced and no host has taken over the seat.
    Remove,
}

/// Conditional update that replaces the table if its version is still `expected_version`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeatUpdate {
    pub reason: Reason,
    pub expected_version: Revision,
    pub seats: Vec<Seat>,
}

/// Decides which change to propose. Keeps the time of the last rewrite and since when a holder has
/// been fenced.
#[derive(Debug, Default)]
pub struct SeatUpdatePlanner {
    last_rewrite: Option<Duration>,
    fenced_since: Option<(HostId, Duration)>,
}

impl SeatUpdatePlanner {
    /// Returns the change to propose now, if any. Without a known table it proposes to create one.
    pub fn plan(&mut self, state: &SeatState, now: Duration) -> Option<SeatUpdate> {
        let Some(table) = state.table() else {
            let mut table = SeatTable::default();
            table.add_seat(state.host.clone(), state.incarnation, true);
            return Some(SeatUpdate {
                reason: Reason::Create,
                expected_version: 0,
                seats: table.seats,
            });
        };
        let mut next = table.clone();
        let reason = if table.holds(&state.host, state.incarnation) {
            self.maintain(state, &mut next, now)?
        } else {
            join(state, &mut next, now)
        };
        Some(SeatUpdate {
            reason,
            expected_version: table.version,
            seats: next.seats,
        })
    }

    fn maintain(
        &mut self,
        state: &SeatState,
        table: &mut SeatTable,
        now: Duration,
    ) -> Option<Reason> {
        let own = table.seats.iter_mut().find(|s| s.host == state.host)?;
        if state.active && !own.voter {
            own.voter = true;
            return Some(Reason::Activate);
        }
        let refused = state.live_peers(now).any(|host| {
            state.peers[host].refusals.iter().any(|s| {
                s.host == state.host
                    && s.incarnation == state.incarnation
                    && s.version == table.version
            })
        });
        if refused
            && self
                .last_rewrite
                .is_none_or(|at| now >= at + REWRITE_INTERVAL)
        {
            self.last_rewrite = Some(now);
            return Some(Reason::Rewrite);
        }
        self.remove_fenced(state, table, now)
    }

    fn remove_fenced(
        &mut self,
        state: &SeatState,
        table: &mut SeatTable,
        now: Duration,
    ) -> Option<Reason> {
        let fenced = fenced_seat(state, table, now).map(|s| s.host.clone());
        let Some(host) = fenced else {
            self.fenced_since = None;
            return None;
        };
        let since = match &self.fenced_since {
            Some((known, since)) if *known == host => *since,
            _ => now,
        };
        self.fenced_since = Some((host.clone(), since));
        if table.seats.len() <= MIN_SEATS || now < since + REMOVE_AFTER {
            return None;
        }
        table.seats.retain(|s| s.host != host);
        self.fenced_since = None;
        Some(Reason::Remove)
    }
}

fn join(state: &SeatState, table: &mut SeatTable, now: Duration) -> Reason {
    let host = state.host.clone();
    if let Some(seat) = table.seats.iter_mut().find(|s| s.host == host) {
        // The same host holds the seat, so it stays a voter.
        seat.incarnation = state.incarnation;
        return Reason::Restart;
    }
    let fenced = fenced_seat(state, table, now).map(|s| s.number);
    if let Some(seat) = table.seats.iter_mut().find(|s| Some(s.number) == fenced) {
        seat.host = host;
        seat.incarnation = state.incarnation;
        seat.voter = false;
        return Reason::TakeOver;
    }
    table.add_seat(host, state.incarnation, false);
    Reason::Grow
}

fn fenced_seat<'a>(state: &SeatState, table: &'a SeatTable, now: Duration) -> Option<&'a Seat> {
    table
        .seats
        .iter()
        .find(|s| s.host != state.host && state.is_fenced(&s.host, s.incarnation, now))
}
