//! The body of a write.

use magnoliahatch_core::ids::ChangeId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// The body of a write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Draft {
    pub change_id: ChangeId,
    pub value: serde_json::Value,
}
