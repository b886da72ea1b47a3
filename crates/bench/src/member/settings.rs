//! Settings of the member stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;

use magnoliahatch_core::ids::MemberId;
use serde::Deserialize;

/// Settings file of `standin-member`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    pub member: MemberId,
    pub listen: Listen,
    /// Keeps the log and the grants; an existing log takes precedence over `start`.
    /// Without it the state is kept in a temporary directory and lost at the end.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    #[serde(default)]
    pub start: Start,
    /// Connections of user `proxy` that are accepted at once.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Statements of data connections that execute at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Time to open a connection.
    #[serde(default = "default_connect_ms")]
    pub connect_ms: u64,
    /// Time that each statement of a data connection occupies its slot in addition to its work.
    #[serde(default)]
    pub service_us: u64,
    /// Delay between receiving and applying an entry on a replica.
    #[serde(default)]
    pub lag_ms: u64,
    /// If set, the password that every connection must send in clear text.
    #[serde(default)]
    pub password: Option<String>,
    /// Whether received statements are recorded from the start.
    #[serde(default)]
    pub record: bool,
}

/// Addresses to listen on; port 0 picks a free one.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    pub sql: SocketAddr,
    /// Second address for tests; it keeps answering while the member is frozen.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// Role at the first start.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Start {
    /// Primary of term 1.
    Primary,
    /// Replica in term 1 that pulls from the address.
    Follow(SocketAddr),
    /// Waits for `platform_follow` or `platform_fence`.
    #[default]
    Fenced,
}

fn default_connections() -> usize {
    16
}

fn default_slots() -> usize {
    2
}

fn default_connect_ms() -> u64 {
    12
}
