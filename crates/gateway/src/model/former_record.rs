//! The record of a primary from before the store came back from a copy.

use std::time::Duration;

use magnoliahatch_core::ids::Revision;

use crate::model::primary_record::PrimaryRecord;

/// What this host last knew of a service's primary in a former era of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FormerRecord {
    pub record: PrimaryRecord,
    pub revision: Revision,
    /// When the record was last known to be current.
    pub current_at: Duration,
}
