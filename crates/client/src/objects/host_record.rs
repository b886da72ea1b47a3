//! Addresses and identity that a host publishes in the store.

use std::net::SocketAddr;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::Incarnation;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Addresses and identity that a host publishes in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct HostRecord {
    pub incarnation: Incarnation,
    pub data_centre: DataCentreId,
    #[schemars(with = "String")]
    pub sql: SocketAddr,
    #[schemars(with = "String")]
    pub admin: SocketAddr,
    #[schemars(with = "String")]
    pub control: SocketAddr,
}
