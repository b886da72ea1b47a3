//! Call counts of the store stand-in.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Calls received since the start, including those affected by a fault. A watch counts once,
/// however long it waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CallCounts {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
}
