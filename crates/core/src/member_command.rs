//! Calls that an election makes to database members, and their answers.

use crate::ids::LogIndex;
use crate::ids::MemberId;
use crate::ids::Term;
use crate::role::Role;

/// End of a member's log. A log is newer than another if its last entry has a higher term, or a
/// higher index in the same term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogEnd {
    pub last_term: Term,
    pub received: LogIndex,
}

/// State that a member reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    pub role: Role,
    pub term: Term,
    pub end: LogEnd,
}

/// Call to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberCommand {
    Fence,
    Promote,
    /// Follow the named member as its primary.
    Follow(MemberId),
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandReply {
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
    /// No answer arrived. The call may still have taken effect.
    Lost,
}
