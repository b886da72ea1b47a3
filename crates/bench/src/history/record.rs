//! Records of a history.

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

use crate::history::operation::Micros;
use crate::history::operation::Operation;
use crate::history::outcome::Outcome;

/// Identifier of a session. It stays the same when the session moves to another host.
pub type SessionId = u64;

/// One operation of a history, with its time, caller and outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    pub session: SessionId,
    pub host: HostId,
    pub organisation: OrganisationId,
    pub database: DatabaseId,
    pub operation: Operation,
    /// Statements that certainly count against the organisation's rate limit if the operation ran.
    pub statements: u32,
    pub invoked: Micros,
    /// When the answer arrived or the caller gave up.
    pub answered: Micros,
    pub outcome: Outcome,
}
