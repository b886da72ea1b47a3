//! Types of the administration API that the daemon serves and the command line calls.

use std::collections::BTreeMap;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Answer to an accepted change.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    pub version: Revision,
}

/// Answer to the creation of a key: the only time that the key is shown.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct NewKey {
    pub id: String,
    pub key: String,
    pub version: Revision,
}

/// What is in force on each seated host.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct FleetStatus {
    pub revision: Revision,
    pub hosts: BTreeMap<HostId, HostReport>,
}

/// One host's part of the fleet status.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct HostReport {
    pub incarnation: Incarnation,
    /// Revision in force on the host, as last heard.
    pub revision: Revision,
    /// Whether a majority currently vouches for the host.
    pub vouched: bool,
    pub draining: bool,
}
