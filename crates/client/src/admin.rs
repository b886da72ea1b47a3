//! Types of the administration API that the daemon serves and the command line calls.

pub mod client;
pub mod client_error;
pub mod contract_report;
pub mod contract_terms;
pub mod drain_progress;
pub mod placement_body;
pub mod problem;
pub mod source;
pub mod subject;
pub mod switchover_request;
pub mod switchover_result;
pub mod versioned;

use std::collections::BTreeMap;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::admin::drain_progress::DrainProgress;

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
    /// What is out of service, named as in its placement, such as `endpoint/m1`.
    #[serde(default)]
    pub leaving: BTreeMap<String, DrainProgress>,
}

impl FleetStatus {
    /// Whether a version has taken effect on every host that accepts work.
    pub fn is_in_effect(&self, version: Revision) -> bool {
        self.revision >= version && self.outdated_hosts(version).next().is_none()
    }

    /// Hosts that may still accept work under an older configuration. A host without the vouches
    /// of a majority is left out, because it refuses new work.
    pub fn outdated_hosts(&self, version: Revision) -> impl Iterator<Item = &HostId> {
        self.hosts
            .iter()
            .filter(move |(_, host)| host.has_lease && host.revision < version)
            .map(|(name, _)| name)
    }
}

/// One host's part of the fleet status.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct HostReport {
    pub incarnation: Incarnation,
    /// Revision in force on the host, as last heard.
    pub revision: Revision,
    /// Whether a majority currently vouches for the host.
    #[serde(rename = "vouched")]
    pub has_lease: bool,
    pub draining: bool,
}
