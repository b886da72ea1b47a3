//! API response that describes one link.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::mode::LinkMode;
use crate::fault::protocol::Protocol;

/// Current state and counters of one link.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
pub struct LinkReport {
    pub name: String,
    pub protocol: Protocol,
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    #[schemars(with = "Option<String>")]
    pub target: Option<SocketAddr>,
    pub mode: LinkMode,
    pub delay_us: u64,
    pub accepted: u64,
    pub open: u64,
    pub delivered: u64,
    pub discarded: u64,
}
