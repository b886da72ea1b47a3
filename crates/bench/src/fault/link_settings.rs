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
    /// Unique name, used in the ready line and in the API.
    pub name: String,
    #[serde(default)]
    pub protocol: Protocol,
    #[serde(default = "any_port")]
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Address to forward to. Until it is set, here or through the API, new connections wait and
    /// datagrams are discarded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub target: Option<SocketAddr>,
    /// Delay added in each direction, in microseconds.
    #[serde(default)]
    pub delay_us: u64,
    /// Delays, in microseconds, of connections from registered processes, by process name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub delays_us: BTreeMap<String, u64>,
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
