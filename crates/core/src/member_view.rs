//! What a daemon last heard of one member of a database group.

use std::time::Duration;

use crate::ids::LogIndex;
use crate::ids::Term;
use crate::position::LogPosition;
use crate::role::Role;

/// Last known state of a member.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    pub reachable: bool,
    pub role: Role,
    /// Highest term that the member has granted or follows.
    pub term: Term,
    /// Term of the last entry of the member's log.
    pub last_term: Term,
    /// Highest index that is durable on the member.
    pub received: LogIndex,
    /// Highest index visible to reads on the member.
    pub applied: LogIndex,
    /// When the state was last heard, as time since the daemon's start. It is the time at which
    /// the probe was sent, so the state is at least as new.
    pub heard: Duration,
}

impl MemberView {
    /// Whether reads on the member see everything up to a confirmed position. A log whose last
    /// term is not older contains every entry that was confirmed in that term.
    pub fn covers(&self, position: LogPosition) -> bool {
        self.last_term >= position.term && self.applied >= position.index
    }
}
