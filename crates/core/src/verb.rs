//! Platform verbs of a database member, as an election uses them.

use crate::ids::LogIndex;
use crate::ids::MemberId;
use crate::ids::Term;
use crate::role::Role;

/// End of a member's log. A log is newer than another if its last entry has the higher term, or
/// the higher index in the same term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogEnd {
    pub last_term: Term,
    pub received: LogIndex,
}

/// What a member reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    pub role: Role,
    pub term: Term,
    pub end: LogEnd,
}

/// Call of a platform verb.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verb {
    Fence,
    Promote,
    /// Follow the named member.
    Follow(MemberId),
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Fence {
        granted: bool,
        term: Term,
        end: LogEnd,
    },
    Promote {
        ok: bool,
        term: Term,
    },
    Follow {
        ok: bool,
    },
    /// No answer arrived; the call may have taken effect.
    Lost,
}
