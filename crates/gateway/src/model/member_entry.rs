//! A member as it registers itself.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliahatch_core::ids::DataCentreId;
use serde::Deserialize;
use serde::Serialize;

/// Registration of a member of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    pub service: String,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Statements that it runs at once.
    pub slots: u32,
    pub draining: bool,
    /// Its own view, which may be out of date after a promotion elsewhere.
    pub primary: bool,
    /// Unix milliseconds of its start; a member may start again under its id.
    pub born: u64,
    /// How much longer it is slow after its start, counted from when it wrote this entry.
    pub cold: Duration,
}
