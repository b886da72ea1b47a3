//! Registration of a host.

use std::net::SocketAddr;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// What a host publishes about itself. It uses primaries only while its registration stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    pub mesh: SocketAddr,
    #[serde(rename = "dataCentre")]
    pub data_centre: DataCentreId,
    pub incarnation: Incarnation,
    /// It stops soon and takes no new duties.
    pub leaving: bool,
}
