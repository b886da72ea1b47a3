//! Configuration that operators keep in the platform's store.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::RouteId;
use serde::Deserialize;
use serde::Serialize;

use crate::model::region_limit::RegionLimit;
use crate::model::route::Route;

/// Organisation of sessions without a valid key, on routes that allow anonymous access.
pub const ANONYMOUS: &str = "-";

/// Rate limit of an organisation, for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    pub per_second: f64,
    pub burst: f64,
}

/// Limits of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Maximum number of connections to one member, for all hosts together.
    pub connections: u32,
    /// Whether commits are acknowledged only once a replica has received them.
    pub synchronous: bool,
    /// Statements per second that a cold member accepts, from all hosts together.
    pub cold_rate: f64,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    pub version: u64,
    /// Routes by the database name that clients open.
    pub routes: BTreeMap<RouteId, Route>,
    pub services: BTreeMap<String, ServiceLimits>,
    pub keys: BTreeMap<String, OrganisationId>,
    pub rates: BTreeMap<OrganisationId, Rate>,
    /// Organisations whose statements may only run in certain regions.
    pub regions: BTreeMap<OrganisationId, RegionLimit>,
    /// A transaction that is idle for longer may be rolled back.
    pub idle: Duration,
}

impl Configuration {
    /// The organisation for which sessions with a key run. `None` if the key gives no access to the
    /// database.
    pub fn organisation(&self, database: &str, key: &str) -> Option<&str> {
        let route = self.routes.get(database);
        let anonymous = route.is_some_and(|r| r.anonymous).then_some(ANONYMOUS);
        self.keys.get(key).map(String::as_str).or(anonymous)
    }
    /// Share of an organisation where a member is short of capacity, in proportion to those of
    /// others: the operations that its rate lets it send within a second.
    pub fn weight(&self, organisation: &str) -> f64 {
        let rate = self.rates.get(organisation);
        rate.map_or(1.0, |r| (r.per_second + r.burst).max(1.0))
    }
}
