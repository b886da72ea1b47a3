//! List of all objects of one kind.

use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::stored_object::StoredObject;

/// All objects of one kind, as of a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ObjectList {
    pub revision: Revision,
    pub objects: Vec<StoredObject>,
}
