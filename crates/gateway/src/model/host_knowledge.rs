//! What a host knows of a service's primary from before the store came back from a copy.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::model::primary_record::PrimaryRecord;
use crate::model::store_revision::Era;

/// Answer of a host to the one that repairs the record of the primary.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostKnowledge {
    pub host: HostId,
    pub incarnation: Incarnation,
    /// Newest record of a former era, with its revision.
    pub record: Option<(PrimaryRecord, Revision)>,
    /// Revision of the last record by which the host was asked to stop using the primary; 0 if it
    /// was not.
    pub blocked: Revision,
    /// Era of the host's copy before the present one.
    pub former_era: Option<Era>,
}
