//! Progress of a drain.

use magnoliahatch_core::ids::HostId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Progress of an endpoint, host or data centre that leaves service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(rename = "Leaving")]
pub struct DrainProgress {
    /// No live host has work there, so it may be stopped.
    pub done: bool,
    /// Connections, sessions and roles as primary that are left on the live hosts.
    pub remaining: u32,
    /// Live hosts that have work there or have not reported on it.
    pub waiting: Vec<HostId>,
}
