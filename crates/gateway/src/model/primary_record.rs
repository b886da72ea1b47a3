//! The record of a service's primary, on which all hosts agree.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;
use serde::Deserialize;
use serde::Serialize;

use crate::model::known_member::KnownMember;
use crate::model::store_revision;
use crate::model::store_revision::Era;

/// Which member may run writes. While `change` is set, none may.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryRecord {
    pub primary: MemberId,
    pub change: Option<PrimaryChange>,
    /// Members of the service that may hold acknowledged commits. Empty if commits do not wait for a
    /// replica, and in records of hosts of a former version.
    #[serde(default)]
    pub members: Vec<KnownMember>,
    /// Era of the store in which the record was written.
    #[serde(default)]
    pub era: Era,
    /// Term in which the primary leads, as far as the writer knew.
    #[serde(default)]
    pub term: Term,
}

impl PrimaryRecord {
    /// Whether the object with this revision came back from a copy and was not written since. A
    /// change of primary may have been forgotten with what was lost.
    pub fn is_restored(&self, revision: Revision) -> bool {
        self.era != store_revision::era(revision)
    }
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
    /// Whether a promotion may have been ordered, of a member that the record does not name. So it is
    /// after the store has come back from a copy.
    #[serde(default)]
    pub forgotten: bool,
}
