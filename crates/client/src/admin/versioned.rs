//! An object with its version, as the administration API returns it.

use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::admin::source::Source;

/// A shown object with its version, which a change must name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Versioned<T> {
    pub name: String,
    pub version: Revision,
    pub source: Source,
    pub value: T,
}
