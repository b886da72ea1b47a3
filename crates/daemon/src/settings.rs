//! Settings of the entry daemon.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use magnoliahatch_client::logs::LogFormat;
use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::HostId;
use serde::Deserialize;

use crate::limits::settings::LimitSettings;

/// Contents of the daemon's settings file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub host: HostId,
    pub region: String,
    pub data_centre: DataCentreId,
    pub listen: Listen,
    pub store: Store,
    /// Certificate of the SQL listener; without it clients connect without TLS.
    pub tls: Option<Tls>,
    /// Certificates for messages between daemons; without them the host has no peers, which is only
    /// suitable for a fleet of one host.
    pub control_tls: Option<ControlTls>,
    /// Addresses to advertise to peers instead of the bound ones.
    pub advertise: Option<Advertise>,
    #[serde(default)]
    pub limits: LimitSettings,
    #[serde(default)]
    pub log: Log,
    pub metrics: Option<Metrics>,
    /// Maximum time that a graceful shutdown waits for open transactions.
    #[serde(default = "default_stop_timeout_ms")]
    pub stop_timeout_ms: u64,
}

/// Addresses to bind; port 0 selects a free port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    pub sql: SocketAddr,
    pub admin: SocketAddr,
    pub control: SocketAddr,
}

/// Addresses at which peers reach this host, where they differ from the bound ones.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Advertise {
    pub control: Option<SocketAddr>,
}

/// The platform's object store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    pub url: String,
}

/// Certificate chain and private key, as PEM files.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    pub cert: PathBuf,
    pub key: PathBuf,
}

/// Certificates for messages between daemons, as PEM files.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlTls {
    pub ca: PathBuf,
    pub cert: PathBuf,
    pub key: PathBuf,
}

/// Log output, written to standard error.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    pub format: LogFormat,
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            filter: "info".to_owned(),
        }
    }
}

/// Destination of statsd metrics.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Metrics {
    pub statsd: SocketAddr,
    #[serde(default = "default_prefix")]
    pub prefix: String,
}

impl Settings {
    /// Maximum time that a graceful shutdown waits for open transactions.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_timeout_ms)
    }
}

fn default_stop_timeout_ms() -> u64 {
    30_000
}

fn default_prefix() -> String {
    "magnoliahatch".to_owned()
}
