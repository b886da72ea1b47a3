//! Settings file of the store stand-in.

use std::net::SocketAddr;

use magnoliahatch_client::logs::LogFormat;
use serde::Deserialize;

use crate::store::fault::StoreFault;

/// Settings file of the store stand-in.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address to listen on. With port 0 the system chooses a port, which the ready line reports.
    pub listen: SocketAddr,
    #[serde(default)]
    pub log_format: LogFormat,
    /// Log filter in the syntax of `RUST_LOG`.
    #[serde(default = "default_filter")]
    pub log_filter: String,
    /// Initial fault.
    #[serde(default)]
    pub fault: StoreFault,
    /// Initial objects, written in this order.
    #[serde(default)]
    pub objects: Vec<InitialObject>,
}

/// An object that is stored before the server starts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InitialObject {
    pub kind: String,
    pub name: String,
    pub value: serde_json::Value,
}

fn default_filter() -> String {
    "info".to_owned()
}
