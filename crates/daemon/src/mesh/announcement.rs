//! What a host tells its peers about itself with each heartbeat.

use std::collections::BTreeMap;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Revision;
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
}
