//! Last known primary of a database.

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Last known primary of a database, only a hint for daemons that start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PrimaryHint {
    pub term: Term,
    pub member: MemberId,
}
