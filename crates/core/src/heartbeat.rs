//! What a host tells each peer every second.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HeartbeatId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Revision;

/// A promise not to vouch for a holder while the seat table has this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub version: Revision,
    /// Every vouch that knows nothing of the promise has ended, so that it may be acted on.
    pub settled: bool,
}

/// Keeps the receiver's vouch alive and asks for the sender's own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub id: HeartbeatId,
    /// The receiver's last heartbeat, if it is vouched for in answer to it.
    pub echo: Option<HeartbeatId>,
    /// How long the vouch lasts, counted by the receiver from when it sent `echo`.
    pub vouch: Duration,
    /// Version of the seat table that the sender knows.
    pub table: Revision,
    /// Version of the seat table whose floors are in force at the sender.
    pub confirmed: Revision,
    pub stops: Vec<Stop>,
}
