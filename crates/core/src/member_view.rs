//! A daemon's view of one member of a database group.

use std::time::Duration;

use crate::ids::LogIndex;
use crate::ids::Term;
use crate::position::LogPosition;
use crate::role::Role;

/// Latest known state of a member.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    pub reachable: bool,
    pub role: Role,
    /// Highest term that the member has granted or joined.
    pub term: Term,
    /// Term of the last entry of the member's log.
    pub last_term: Term,
    /// Index of the last entry that is durable on the member.
    pub received: LogIndex,
    /// Index of the last entry that reads on the member see.
    pub applied: LogIndex,
    /// Time of the observation since the daemon's start. It is the time at which the probe was
    /// sent, so the state is at least as recent.
    pub observed_at: Duration,
}

impl MemberView {
    /// Whether reads on the member see all entries up to a confirmed position. A log whose last
    /// entry has the position's term or a newer one contains every entry that was confirmed in that
    /// term.
    pub fn covers(&self, position: LogPosition) -> bool {
        self.last_term >= position.term && self.applied >= position.index
    }
}
