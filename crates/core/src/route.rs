//! Selects the member that serves a read.

use std::time::Duration;

use crate::group_view::GroupView;
use crate::ids::MemberId;
use crate::position::LogPosition;
use crate::position_history::PositionHistory;
use crate::role::Role;

/// What a read requires of the member that serves it.
#[derive(Debug, Clone, Copy)]
pub struct ReadRequirements {
    /// Position that the session has seen; `None` before its first answer.
    pub seen: Option<LogPosition>,
    /// Maximum staleness that the read accepts.
    pub max_age: Duration,
}

/// Destination of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadTarget {
    Replica(MemberId),
    Primary,
    /// The session has seen a newer term than this daemon knows, so the daemon must first update
    /// its view of the group.
    Refresh,
}

/// Selects the member for a read. `cost` is `None` for a member that is out of service. The
/// caller increments `rotation` for each read, so that reads rotate over the replicas of the lowest
/// cost.
pub fn choose_target(
    group: &GroupView,
    ring: &PositionHistory,
    requirements: ReadRequirements,
    now: Duration,
    rotation: usize,
    cost: impl Fn(&MemberId) -> Option<u32>,
) -> ReadTarget {
    let Some(seen) = requirements.seen else {
        return ReadTarget::Primary;
    };
    if seen.term > group.term {
        return ReadTarget::Refresh;
    }
    if requirements.max_age.is_zero() {
        return ReadTarget::Primary;
    }
    let eligible: Vec<(u32, &MemberId)> = group
        .members
        .iter()
        .filter(|(name, member)| {
            member.reachable
                && member.role == Role::Replica
                && group.primary.as_ref() != Some(*name)
                && member.covers(seen)
                && ring
                    .staleness(member, now)
                    .is_some_and(|age| age <= requirements.max_age)
        })
        .filter_map(|(name, _)| Some((cost(name)?, name)))
        .collect();
    let Some(lowest) = eligible.iter().map(|(cost, _)| *cost).min() else {
        return ReadTarget::Primary;
    };
    let cheapest: Vec<_> = eligible
        .iter()
        .filter(|(cost, _)| *cost == lowest)
        .collect();
    ReadTarget::Replica(cheapest[rotation % cheapest.len()].1.clone())
}
