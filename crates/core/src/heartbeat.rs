//! Heartbeats, which every host sends to each peer once a second.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HeartbeatId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Revision;

/// Promise not to grant a lease to the holder of a seat while the seat table has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRefusal {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub version: Revision,
    /// All leases granted before the promise have expired, so other hosts may rely on it.
    pub effective: bool,
}

/// Renews the receiver's lease and requests one for the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub id: HeartbeatId,
    /// The receiver's latest heartbeat, if this heartbeat answers it with a lease.
    pub echo: Option<HeartbeatId>,
    /// Length of the lease. The receiver counts it from when it sent the heartbeat `echo`.
    pub lease: Duration,
    /// Latest version of the seat table that the sender knows.
    pub table_version: Revision,
    /// Version of the seat table whose floors the sender applies.
    pub confirmed_version: Revision,
    pub refusals: Vec<LeaseRefusal>,
}
