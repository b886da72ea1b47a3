//! Registration of a host.

use std::net::SocketAddr;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// A host's registration in the store. A host uses primaries only while it is registered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Address for connections from other hosts.
    pub mesh: SocketAddr,
    #[serde(rename = "dataCentre")]
    pub data_centre: DataCentreId,
    pub incarnation: Incarnation,
    /// Processor time that the host may use, in thousandths of a core.
    #[serde(default)]
    pub capacity: u32,
    /// Whether the host is about to stop and takes on no new tasks for other hosts.
    pub leaving: bool,
}
