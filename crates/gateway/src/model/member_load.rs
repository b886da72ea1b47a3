//! Load of a member as its home sees it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Sent with each outcome to the host of the client, which chooses members for reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLoad {
    /// Statements of this home that the member has not answered yet.
    pub running: u16,
    /// Statements that wait at the home.
    pub waiting: u16,
    /// Number of statements that the home has in flight at most.
    pub window: u16,
    /// Current time of a read that waits for no other; `None` if none was measured.
    pub read: Option<Duration>,
    /// Whether the window is still small after a restart or an outage of the member.
    pub opening: bool,
    /// Whether the member answers more slowly than usual.
    pub slow: bool,
}

impl MemberLoad {
    /// Statements that the home has accepted and the member has not answered.
    pub fn accepted(&self) -> u32 {
        u32::from(self.running) + u32::from(self.waiting)
    }
}
