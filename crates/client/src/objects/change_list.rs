//! The answer to a watch.

use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::change::Change;

/// `changes` are in order of revision; `revision` is where the next watch starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ChangeList {
    pub revision: Revision,
    pub changes: Vec<Change>,
}
