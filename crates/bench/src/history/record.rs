//! One operation of a history.

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

use crate::history::operation::Micros;
use crate::history::operation::Operation;
use crate::history::outcome::Outcome;

/// Number of a session, which keeps it while it moves between hosts.
pub type SessionNumber = u64;

/// One operation of a history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    pub session: SessionNumber,
    pub host: HostId,
    pub organisation: OrganisationId,
    pub database: DatabaseId,
    pub operation: Operation,
    /// Statements that the organisation's limit certainly covers if the operation ran.
    pub statements: u32,
    pub invoked: Micros,
    /// When the answer arrived or the caller gave up.
    pub answered: Micros,
    pub outcome: Outcome,
}
