//! State that a host sends to its peers with each heartbeat.

use std::collections::BTreeMap;

use magnoliahatch_core::failure_detector::PrimaryObservation;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;
use serde::Deserialize;
use serde::Serialize;

/// State of a host, apart from its seat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether the store has answered recently.
    pub store_reached: bool,
    /// Reachability of the primaries of the databases that the host probes, as it sees them.
    pub observations: BTreeMap<DatabaseId, PrimaryObservation>,
    pub draining: bool,
    pub region: String,
    /// Remaining work of each subject that is leaving service, keyed by the name of its placement.
    pub leaving: BTreeMap<String, u32>,
    /// Switchovers that the host has ordered, with the term of the old primary.
    pub orders: BTreeMap<DatabaseId, Term>,
    /// Databases to whose primary the host sends no new work until it is replaced.
    pub closed: BTreeMap<DatabaseId, ClosedPrimary>,
}

impl Announcement {
    /// Whether the change since `last_sent` must be sent before the next heartbeat.
    pub(crate) fn is_urgent_after(&self, last_sent: &Self) -> bool {
        self.observations != last_sent.observations
            || self.orders != last_sent.orders
            || self.closed != last_sent.closed
            || self.drained_subjects() != last_sent.drained_subjects()
    }

    fn drained_subjects(&self) -> Vec<&String> {
        let done = self
            .leaving
            .iter()
            .filter(|(_, remaining)| **remaining == 0);
        done.map(|(subject, _)| subject).collect()
    }
}

/// A primary to which a host sends no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedPrimary {
    pub term: Term,
    /// Work of the host that is still in progress on the primary.
    pub active: u32,
}
