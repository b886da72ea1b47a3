//! Client processes whose traffic can be identified.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A client process whose traffic has its own delay on some links, or can be cut on its own.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Source {
    /// Process id, by which the owner of a TCP connection is found.
    pub process: u32,
    /// Local address from which the process sends datagrams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub udp: Option<SocketAddr>,
}
