//! Result of a switchover.

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The new primary and its term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "SwitchoverDone")]
pub struct SwitchoverResult {
    pub term: Term,
    pub member: MemberId,
}
