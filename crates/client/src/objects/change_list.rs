//! Response to a watch.

use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::change::Change;

/// Changes in order of revision; the next watch starts after `revision`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ChangeList {
    pub revision: Revision,
    pub changes: Vec<Change>,
}
