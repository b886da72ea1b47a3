//! Settings of one link.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::protocol::Protocol;

/// Settings of one link.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Unique name; the ready line and the API use it.
    pub name: String,
    #[serde(default)]
    pub protocol: Protocol,
    #[serde(default = "any_port")]
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// May be absent until the API sets it; new connections wait for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub target: Option<SocketAddr>,
    /// Added in each direction.
    #[serde(default)]
    pub delay_us: u64,
    /// Delays of the connections of known processes, by the process's name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub delays_us: BTreeMap<String, u64>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
