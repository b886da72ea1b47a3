//! Latest announcement of a peer.

use std::time::Instant;

use magnoliahatch_core::ids::Incarnation;

use crate::mesh::announcement::Announcement;

/// Latest announcement of a peer and the time of its arrival.
#[derive(Debug, Clone)]
pub struct PeerReport {
    pub incarnation: Incarnation,
    pub received_at: Instant,
    pub announcement: Announcement,
}
