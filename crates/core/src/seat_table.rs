//! The seat table, which the store holds.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::ids::SeatNumber;

/// One seat and the host that holds it. A seat owns an equal part of every limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    pub number: SeatNumber,
    pub host: HostId,
    pub incarnation: Incarnation,
    /// Whether the host's floor has been in force at some time since it took the seat. Only such a
    /// host counts towards the majority that allows another seat to be reassigned.
    pub voter: bool,
}

/// All seats at one version, sorted by number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatTable {
    pub version: Revision,
    pub seats: Vec<Seat>,
}

impl SeatTable {
    pub fn seat_of(&self, host: &str) -> Option<&Seat> {
        self.seats.iter().find(|s| s.host == host)
    }

    pub fn holds(&self, host: &str, incarnation: Incarnation) -> bool {
        self.seat_of(host)
            .is_some_and(|s| s.incarnation == incarnation)
    }

    /// Index of the host's seat in the order of seat numbers.
    pub fn rank(&self, host: &str) -> Option<usize> {
        self.seats.iter().position(|s| s.host == host)
    }

    pub fn seat_numbers(&self) -> Vec<SeatNumber> {
        self.seats.iter().map(|s| s.number).collect()
    }

    /// Number of hosts that make up a majority of the seats.
    pub fn majority(&self) -> usize {
        self.seats.len() / 2 + 1
    }

    /// Adds a seat with the lowest free number.
    pub fn add_seat(&mut self, host: HostId, incarnation: Incarnation, voter: bool) {
        let number = (0..)
            .find(|n| self.seats.iter().all(|s| s.number != *n))
            .unwrap_or_default();
        self.seats.push(Seat {
            number,
            host,
            incarnation,
            voter,
        });
        self.seats.sort_by_key(|s| s.number);
    }
}
