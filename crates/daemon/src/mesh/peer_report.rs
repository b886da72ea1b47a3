//! What a peer last announced.

use std::time::Instant;

use magnoliahatch_core::ids::Incarnation;

use crate::mesh::announcement::Announcement;

/// A peer's last announcement and when it came.
#[derive(Debug, Clone)]
pub struct PeerReport {
    pub incarnation: Incarnation,
    pub heard: Instant,
    pub announcement: Announcement,
}
