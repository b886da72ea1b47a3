//! The record of a service's primary, on which all hosts agree.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::MemberId;
use serde::Deserialize;
use serde::Serialize;

use crate::model::known_member::KnownMember;

/// Which member may run writes. While `change` is set, none may.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    pub primary: MemberId,
    pub change: Option<PrimaryChange>,
    /// Members of the service that may hold acknowledged commits. Empty if commits do not wait for a
    /// replica, and in records of hosts of a former version.
    #[serde(default)]
    pub members: Vec<KnownMember>,
}

/// A change of primary in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryChange {
    /// The host that carries out the change.
    pub holder: HostId,
    /// The process on that host. Once it has ended, another host may continue the change at once.
    pub incarnation: Incarnation,
    /// Set before a promotion is ordered; a host that continues the change must promote the same
    /// member.
    pub candidate: Option<MemberId>,
}
