//! Status that a member reports about itself.

use std::time::Duration;

use magnoliahatch_core::position::LogPosition;

/// Role, position and load of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    pub primary: bool,
    /// End of the log that the member has received.
    pub received: LogPosition,
    pub lag: Duration,
    pub busy: u32,
    pub connections: u32,
}
