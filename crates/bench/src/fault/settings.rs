//! Settings file of the fault proxy.

use std::net::SocketAddr;

use magnoliahatch_client::logs::LogFormat;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::fault::link_settings::LinkSettings;

/// Settings file of the fault proxy.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// Address on which the HTTP API listens.
    #[schemars(with = "String")]
    pub admin: SocketAddr,
    #[serde(default)]
    pub links: Vec<LinkSettings>,
    #[serde(default)]
    pub log_format: LogFormat,
    /// Log filter in the syntax of `RUST_LOG`.
    #[serde(default = "default_filter")]
    pub log_filter: String,
}

fn default_filter() -> String {
    "warn".to_owned()
}
