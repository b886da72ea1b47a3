//! Commands to an election task.

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;

/// Command to an election task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Replaces a working primary. The preferred member wins unless another has a newer log. The
    /// command is ignored once a primary of a term after `replaces` is known, so two daemons that
    /// order the same switchover cause only one.
    Switchover {
        preferred: Option<MemberId>,
        replaces: Term,
    },
}
