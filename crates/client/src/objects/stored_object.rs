//! An object as the store returns it.

use magnoliahatch_core::ids::ChangeId;
use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// An object as the store returns it, with its version and the identifier of its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct StoredObject {
    pub kind: String,
    pub name: String,
    pub version: Revision,
    pub change_id: ChangeId,
    pub value: serde_json::Value,
}
