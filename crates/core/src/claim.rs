//! Changes of the seat table that a host wants to make by conditional update.

use std::time::Duration;

use crate::ids::HostId;
use crate::ids::Revision;
use crate::seat::SeatState;
use crate::seat_table::Seat;
use crate::seat_table::SeatTable;

/// Seats are not removed below this number: two hosts have no majority once one of them fails.
pub const SEATS_MIN: usize = 3;
/// How long a holder must have been stopped before its seat is removed. Until then a new host may
/// take the seat over, which changes no other floor.
pub const REMOVE_AFTER: Duration = Duration::from_secs(10);
/// Pause between two rewrites that ask peers to withdraw their promises.
pub const REWRITE_PAUSE: Duration = Duration::from_secs(5);

/// Why the table is to be changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// There is no table yet.
    Create,
    /// This host's previous run held the seat.
    Restart,
    /// The holder is stopped, and this host takes the seat over.
    TakeOver,
    /// No seat is free.
    Grow,
    /// The floor is in force.
    Activate,
    /// Peers that hear this host again may withdraw their promises only at a newer version.
    Rewrite,
    /// The holder is stopped and nobody took the seat over.
    Remove,
}

/// A conditional update: replaces the table if its version is still `expected`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    pub reason: Reason,
    pub expected: Revision,
    pub seats: Vec<Seat>,
}

/// Decides which change a host proposes; remembers when it last did and since when holders are
/// stopped.
#[derive(Debug, Default)]
pub struct Claimant {
    rewritten: Option<Duration>,
    stopped: Option<(HostId, Duration)>,
}

impl Claimant {
    /// The change to propose now, if any. `table` is what the store returned; none if it has no
    /// table.
    pub fn claim(&mut self, state: &SeatState, now: Duration) -> Option<Claim> {
        let Some(table) = state.table() else {
            let mut table = SeatTable::default();
            table.grow(state.host.clone(), state.incarnation, true);
            return Some(Claim {
                reason: Reason::Create,
                expected: 0,
                seats: table.seats,
            });
        };
        let mut next = table.clone();
        let reason = if table.holds(&state.host, state.incarnation) {
            self.maintain(state, &mut next, now)?
        } else {
            join(state, &mut next, now)
        };
        Some(Claim {
            reason,
            expected: table.version,
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
        let suspected = state.live(now).any(|host| {
            state.peers[host].stops.iter().any(|s| {
                s.host == state.host
                    && s.incarnation == state.incarnation
                    && s.version == table.version
            })
        });
        if suspected && self.rewritten.is_none_or(|at| now >= at + REWRITE_PAUSE) {
            self.rewritten = Some(now);
            return Some(Reason::Rewrite);
        }
        self.remove(state, table, now)
    }

    fn remove(
        &mut self,
        state: &SeatState,
        table: &mut SeatTable,
        now: Duration,
    ) -> Option<Reason> {
        let stopped = stopped_seat(state, table, now).map(|s| s.host.clone());
        let Some(host) = stopped else {
            self.stopped = None;
            return None;
        };
        let since = match &self.stopped {
            Some((known, since)) if *known == host => *since,
            _ => now,
        };
        self.stopped = Some((host.clone(), since));
        if table.seats.len() <= SEATS_MIN || now < since + REMOVE_AFTER {
            return None;
        }
        table.seats.retain(|s| s.host != host);
        self.stopped = None;
        Some(Reason::Remove)
    }
}

fn join(state: &SeatState, table: &mut SeatTable, now: Duration) -> Reason {
    let host = state.host.clone();
    if let Some(seat) = table.seats.iter_mut().find(|s| s.host == host) {
        // The host's name stays, and with it its weight as a voter.
        seat.incarnation = state.incarnation;
        return Reason::Restart;
    }
    let stopped = stopped_seat(state, table, now).map(|s| s.number);
    if let Some(seat) = table.seats.iter_mut().find(|s| Some(s.number) == stopped) {
        seat.host = host;
        seat.incarnation = state.incarnation;
        seat.voter = false;
        return Reason::TakeOver;
    }
    table.grow(host, state.incarnation, false);
    Reason::Grow
}

fn stopped_seat<'a>(state: &SeatState, table: &'a SeatTable, now: Duration) -> Option<&'a Seat> {
    table
        .seats
        .iter()
        .find(|s| s.host != state.host && state.is_stopped(&s.host, s.incarnation, now))
}
