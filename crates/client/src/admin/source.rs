//! Where the daemon read an object that it returns.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Where a shown object was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// The store: the newest version.
    Store,
    /// The answering daemon's view, because the store is unavailable: what is in force there.
    View,
}
