//! Settings of the store stand-in.

use std::net::SocketAddr;

use magnoliahatch_client::logs::LogFormat;
use serde::Deserialize;

use crate::store::fault::Fault;

/// Settings of the store stand-in.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Port 0 lets the system choose; the ready line reports the address.
    pub listen: SocketAddr,
    #[serde(default)]
    pub log_format: LogFormat,
    /// Filter in the syntax of `RUST_LOG`.
    #[serde(default = "default_filter")]
    pub log_filter: String,
    /// Fault in force from the start.
    #[serde(default)]
    pub fault: Fault,
    /// Objects that exist from the start, written in this order.
    #[serde(default)]
    pub objects: Vec<Seed>,
}

/// An object that exists from the start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    pub kind: String,
    pub name: String,
    pub value: serde_json::Value,
}

fn default_filter() -> String {
    "info".to_owned()
}
