//! Body of a write to the store.

use magnoliahatch_core::ids::ChangeId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Body of a write to the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WriteRequest {
    pub change_id: ChangeId,
    pub value: serde_json::Value,
}
