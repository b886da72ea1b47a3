//! Requests to an election task.

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;

/// Request to an election task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Replace the primary although it works, as for a planned change. The member wins if no log
    /// is newer than its own. The command is void once a primary of a term after `replaces` is
    /// known, so that two daemons that order the same change cause one.
    Switchover {
        preferred: Option<MemberId>,
        replaces: Term,
    },
}
