//! Registration of a member.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliahatch_core::ids::DataCentreId;
use serde::Deserialize;
use serde::Serialize;

/// A member's registration in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    pub service: String,
    pub address: SocketAddr,
    pub data_centre: DataCentreId,
    /// Number of statements that the member runs concurrently.
    pub slots: u32,
    pub draining: bool,
    /// Whether the member considers itself the primary, which may be outdated after another member
    /// was promoted.
    pub primary: bool,
    /// Start time in Unix milliseconds; a member may restart under the same id.
    pub started_ms: u64,
    /// Remaining time for which the member is cold, that is slow after its start, when it wrote
    /// this entry.
    pub cold: Duration,
}
