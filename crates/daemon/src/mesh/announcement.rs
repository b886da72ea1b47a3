//! What a host tells its peers about itself with each heartbeat.

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;
use serde::Deserialize;
use serde::Serialize;

/// A database whose primary the host cannot reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    pub database: DatabaseId,
    pub term: Term,
}

/// State of a host beyond its seat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether the store answered recently.
    pub store_reached: bool,
    pub suspects: Vec<Suspect>,
    /// Databases that the host probes; only these count for or against a suspicion.
    pub probed: Vec<DatabaseId>,
    pub draining: bool,
}
