//! Processes that use the links.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A process whose traffic has its own delay on some links.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Process id; recognises the process's TCP connections.
    pub process: u32,
    /// Socket from which the process sends datagrams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub udp: Option<SocketAddr>,
}
