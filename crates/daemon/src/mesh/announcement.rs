//! What a host tells its peers about itself with each heartbeat.

use std::collections::BTreeMap;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::suspicion::Opinion;
use serde::Deserialize;
use serde::Serialize;

/// State of a host beyond its seat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether the store answered recently.
    pub store_reached: bool,
    /// What the host thinks of the primaries of the databases that it probes.
    pub opinions: BTreeMap<DatabaseId, Opinion>,
    pub draining: bool,
    pub region: String,
    /// Work left of what leaves service, named as in its placement.
    pub leaving: BTreeMap<String, u32>,
    /// Planned changes of primary that the host has ordered: the terms of the old primaries.
    pub orders: BTreeMap<DatabaseId, Term>,
    /// Databases whose primary gets no new work from the host until it is replaced.
    pub closed: BTreeMap<DatabaseId, Closed>,
}

impl Announcement {
    /// Whether peers must hear of this state before the next heartbeat.
    pub(crate) fn is_urgent_after(&self, told: &Self) -> bool {
        self.opinions != told.opinions
            || self.orders != told.orders
            || self.closed != told.closed
            || self.drained() != told.drained()
    }

    fn drained(&self) -> Vec<&String> {
        let done = self.leaving.iter().filter(|(_, left)| **left == 0);
        done.map(|(subject, _)| subject).collect()
    }
}

/// A primary that gets no new work from a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    pub term: Term,
    /// Work of the host at the primary that has not ended.
    pub active: u32,
}
