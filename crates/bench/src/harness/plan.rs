//! What a fleet consists of.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

/// What a fleet consists of.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetPlan {
    pub data_centres: Vec<DataCentrePlan>,
    pub hosts: Vec<HostPlan>,
    pub databases: Vec<DatabasePlan>,
    #[serde(default)]
    pub latency: Latency,
    #[serde(default)]
    pub members: MemberTuning,
    /// Whether the fault proxy recognises each process on the links, so that a fault can hit the
    /// traffic of some processes only.
    #[serde(default)]
    pub identify_sources: bool,
    /// Fields added to each daemon's settings file, over those of the harness.
    #[serde(default)]
    pub daemon: serde_json::Map<String, serde_json::Value>,
}

/// A data centre.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentrePlan {
    pub name: DataCentreId,
    pub region: String,
}

/// A host with an entry daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostPlan {
    pub name: HostId,
    pub data_centre: DataCentreId,
}

/// A database group. The first member starts as primary.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatabasePlan {
    pub name: DatabaseId,
    pub slots: u32,
    /// Connections to one member over all hosts.
    pub connections: u32,
    pub members: Vec<MemberPlan>,
}

/// A member of a database group.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberPlan {
    pub name: MemberId,
    pub data_centre: DataCentreId,
}

/// One-way latencies.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// Between data centres of one region.
    pub data_centres_us: u64,
    pub regions_us: u64,
    /// Between callers and hosts.
    pub clients_us: u64,
}

/// Behaviour of the member stand-ins.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberTuning {
    #[serde(default = "default_connect")]
    pub connect_ms: u64,
    /// Time that a statement occupies its slot.
    #[serde(default)]
    pub service_us: u64,
    /// Delay between receiving and applying an entry on a replica.
    #[serde(default)]
    pub lag_ms: u64,
    /// Connections that a member accepts beyond the database's limit. They let a member count an
    /// excess that it would otherwise refuse.
    #[serde(default)]
    pub spare_connections: u32,
}

impl Default for MemberTuning {
    fn default() -> Self {
        Self {
            connect_ms: default_connect(),
            service_us: 0,
            lag_ms: 0,
            spare_connections: 0,
        }
    }
}

/// Contract of one organisation with the key that its callers present.
#[derive(Debug, Clone)]
pub struct ContractPlan {
    pub name: OrganisationId,
    pub rate: f64,
    pub burst: f64,
    pub max_age_ms: u64,
    pub weight: u32,
}

impl FleetPlan {
    /// One-way delay between two data centres.
    pub fn delay(&self, from: &str, to: &str) -> Duration {
        let regions: BTreeMap<&str, &str> = self
            .data_centres
            .iter()
            .map(|place| (place.name.as_str(), place.region.as_str()))
            .collect();
        let micros = if from == to {
            0
        } else if regions.get(from) == regions.get(to) {
            self.latency.data_centres_us
        } else {
            self.latency.regions_us
        };
        Duration::from_micros(micros)
    }

    /// Region of a data centre.
    pub fn region(&self, data_centre: &str) -> Option<&str> {
        let found = self
            .data_centres
            .iter()
            .find(|place| place.name == data_centre);
        found.map(|place| place.region.as_str())
    }

    /// Names of data centres that hosts or members use but the plan does not have.
    pub fn unknown_places(&self) -> Vec<&str> {
        let hosts = self.hosts.iter().map(|host| host.data_centre.as_str());
        let members = self.databases.iter().flat_map(|database| &database.members);
        let members = members.map(|member| member.data_centre.as_str());
        hosts
            .chain(members)
            .filter(|name| self.region(name).is_none())
            .collect()
    }
}

fn default_connect() -> u64 {
    12
}
