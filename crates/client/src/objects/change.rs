//! One change of an object, as a watch reports it.

use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::stored_object::StoredObject;

/// Change of one object; `object` is absent if it was deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Change {
    pub kind: String,
    pub name: String,
    pub revision: Revision,
    pub object: Option<StoredObject>,
}
