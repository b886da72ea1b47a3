//! One change that a watch reports.

use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::stored_object::StoredObject;

/// `object` is absent when the change was a deletion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Change {
    pub kind: String,
    pub name: String,
    pub revision: Revision,
    pub object: Option<StoredObject>,
}
