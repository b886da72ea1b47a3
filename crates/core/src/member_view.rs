//! What a daemon last heard of one member of a database group.

use std::time::Duration;

use crate::ids::LogIndex;
use crate::ids::Term;

/// Last known state of a member.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    pub reachable: bool,
    pub term: Term,
    /// Highest index visible to reads on the member, within `term`.
    pub applied: LogIndex,
    /// When the state was last heard, as time since the daemon's start.
    pub heard: Duration,
}
