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
    /// Own monotonic clock at the simulation's start.
    pub offset: Duration,
    pub node: Option<Coordinator>,
    pub incarnation: Incarnation,
    pub paused: bool,
    pub inbox: VecDeque<Packet>,
    /// Statements per second that arrive; infinite for as many as possible.
    pub load: f64,
    pub arrears: f64,
    /// Deadlines of the waiting statements.
    pub waiting: VecDeque<Duration>,
    pub admitted: u64,
    pub refused: u64,
    pub open: u32,
    pub wanted: u32,
    /// Contract that the host knows; changes reach it late.
    pub contract: usize,
    pub next_store: Duration,
    /// Table read from the store whose answer has not arrived yet.
    pub reading: Option<(Duration, Duration, Option<SeatTable>)>,
}

impl Host {
    pub fn new(index: usize, offset: Duration) -> Self {
        Self {
            name: format!("host-{index}"),
            offset,
            node: None,
            incarnation: 0,
            paused: false,
            inbox: VecDeque::new(),
            load: 0.0,
            arrears: 0.0,
            waiting: VecDeque::new(),
            admitted: 0,
            refused: 0,
            open: 0,
            wanted: 0,
            contract: 0,
            next_store: Duration::ZERO,
            reading: None,
        }
    }

    pub fn local(&self, now: Duration) -> Duration {
        now + self.offset
    }

    pub fn running(&self) -> bool {
        self.node.is_some() && !self.paused
    }
}
