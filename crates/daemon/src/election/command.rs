//! Requests to an election task.

use magnoliahatch_core::ids::MemberId;

/// Request to an election task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Replace the primary although it works, as for a planned change. The member wins if no log
    /// is newer than its own.
    Switchover { preferred: Option<MemberId> },
}
