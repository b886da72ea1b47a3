//! The agreed primary of a service.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::MemberId;
use serde::Deserialize;
use serde::Serialize;

/// Which member may run writes. While `change` stands, none may.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    pub primary: MemberId,
    pub change: Option<PrimaryChange>,
}

/// A replacement in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryChange {
    /// The host that carries it out.
    pub holder: HostId,
    /// The process on that host; once it has ended another may continue at once.
    pub incarnation: Incarnation,
    /// Set once a promotion may have been ordered; a successor then orders the same member.
    pub candidate: Option<MemberId>,
}
