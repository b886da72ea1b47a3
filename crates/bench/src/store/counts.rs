//! Numbers of calls received.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Calls received since the start, including those that met a fault. A watch counts once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Counts {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
}
