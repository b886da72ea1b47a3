//! Choice of the member that serves a read.

use std::time::Duration;

use crate::group_view::GroupView;
use crate::ids::MemberId;
use crate::position::LogPosition;
use crate::position_ring::PositionRing;
use crate::role::Role;

/// What a read requires of the member that serves it.
#[derive(Debug, Clone, Copy)]
pub struct ReadNeed {
    /// Position that the session has seen; none before its first answer.
    pub seen: Option<LogPosition>,
    /// Oldest data that the read accepts.
    pub max_age: Duration,
}

/// Where a read goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    Replica(MemberId),
    Primary,
    /// The session has seen a newer term than this daemon knows.
    Refresh,
}

/// Chooses a member for a read. `cost` is none for a member out of service; among the replicas of
/// the lowest cost, `turn` rotates.
pub fn choose(
    group: &GroupView,
    ring: &PositionRing,
    need: ReadNeed,
    now: Duration,
    turn: usize,
    cost: impl Fn(&MemberId) -> Option<u32>,
) -> Choice {
    let Some(seen) = need.seen else {
        return Choice::Primary;
    };
    if seen.term > group.term {
        return Choice::Refresh;
    }
    if need.max_age.is_zero() {
        return Choice::Primary;
    }
    let able: Vec<(u32, &MemberId)> = group
        .members
        .iter()
        .filter(|(name, member)| {
            member.reachable
                && member.role == Role::Replica
                && group.primary.as_ref() != Some(*name)
                && member.covers(seen)
                && ring.age(member, now).is_some_and(|age| age <= need.max_age)
        })
        .filter_map(|(name, _)| Some((cost(name)?, name)))
        .collect();
    let Some(lowest) = able.iter().map(|(cost, _)| *cost).min() else {
        return Choice::Primary;
    };
    let nearest: Vec<_> = able.iter().filter(|(cost, _)| *cost == lowest).collect();
    Choice::Replica(nearest[turn % nearest.len()].1.clone())
}
