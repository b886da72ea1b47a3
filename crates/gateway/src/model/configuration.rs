//! The operators' configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::RouteId;
use serde::Deserialize;
use serde::Serialize;

use crate::model::region_limit::RegionLimit;
use crate::model::route::Route;

/// Rate and burst of an organisation, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    pub per_second: f64,
    pub burst: f64,
}

/// A service and its limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Connections of all hosts together to one member.
    pub connections: u32,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub synchronous: bool,
    /// Statements a second that a cold member takes from all hosts together.
    pub cold_rate: f64,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    pub version: u64,
    /// By the database name that clients open.
    pub routes: BTreeMap<RouteId, Route>,
    pub services: BTreeMap<String, ServiceLimits>,
    pub keys: BTreeMap<String, OrganisationId>,
    pub rates: BTreeMap<OrganisationId, Rate>,
    /// Organisations whose statements may run in some regions only.
    pub regions: BTreeMap<OrganisationId, RegionLimit>,
    /// A transaction that rests longer may be ended.
    pub idle: Duration,
}
