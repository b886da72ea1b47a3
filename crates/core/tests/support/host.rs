//! One simulated host.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliahatch_core::coordinator::Coordinator;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::seat_table::SeatTable;

use super::network::Packet;

#[derive(Debug)]
pub struct Host {
    pub name: String,
    /// Reading of the host's monotonic clock at the start of the simulation.
    pub clock_offset: Duration,
    /// `None` while the host is down.
    pub coordinator: Option<Coordinator>,
    pub incarnation: Incarnation,
    pub paused: bool,
    pub inbox: VecDeque<Packet>,
    /// Arriving statements per second; infinite for more than the host can admit.
    pub load: f64,
    /// Fraction of a statement carried over to the next step.
    pub arrival_remainder: f64,
    /// Deadlines of waiting statements.
    pub waiting: VecDeque<Duration>,
    pub admitted: u64,
    pub refused: u64,
    pub open_connections: u32,
    pub wanted_connections: u32,
    /// Index of the contract that the host knows; changes reach it with a delay.
    pub contract: usize,
    pub next_store_read: Duration,
    /// Whether the host is cut off from the store.
    pub store_cut: bool,
    /// Read of the store whose answer has not arrived yet: arrival time, start on the host's clock,
    /// and the table.
    pub pending_read: Option<(Duration, Duration, Option<SeatTable>)>,
}

impl Host {
    pub fn new(index: usize, clock_offset: Duration) -> Self {
        Self {
            name: format!("host-{index}"),
            clock_offset,
            coordinator: None,
            incarnation: 0,
            paused: false,
            inbox: VecDeque::new(),
            load: 0.0,
            arrival_remainder: 0.0,
            waiting: VecDeque::new(),
            admitted: 0,
            refused: 0,
            open_connections: 0,
            wanted_connections: 0,
            contract: 0,
            next_store_read: Duration::ZERO,
            store_cut: false,
            pending_read: None,
        }
    }

    pub fn local(&self, now: Duration) -> Duration {
        now + self.clock_offset
    }

    pub fn is_running(&self) -> bool {
        self.coordinator.is_some() && !self.paused
    }
}
