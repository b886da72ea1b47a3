//! Converts the seat table between its stored form and the form that the core crate uses.

use magnoliahatch_client::objects::seat_record::SeatRecord;
use magnoliahatch_client::objects::seat_state::SeatState;
use magnoliahatch_client::objects::seat_table::SeatTable as StoredTable;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::seat_table::Seat;
use magnoliahatch_core::seat_table::SeatTable;

pub(crate) fn decode(stored: &StoredTable, version: Revision) -> SeatTable {
    let mut seats: Vec<Seat> = stored
        .seats
        .iter()
        .map(|record| Seat {
            number: record.seat,
            host: record.host.clone(),
            incarnation: record.incarnation,
            voter: record.state == SeatState::Active,
        })
        .collect();
    seats.sort_by_key(|s| s.number);
    SeatTable { version, seats }
}

pub(crate) fn encode(seats: &[Seat]) -> StoredTable {
    let seats = seats
        .iter()
        .map(|seat| SeatRecord {
            seat: seat.number,
            host: seat.host.clone(),
            incarnation: seat.incarnation,
            state: if seat.voter {
                SeatState::Active
            } else {
                SeatState::Joining
            },
        })
        .collect();
    StoredTable { seats }
}
