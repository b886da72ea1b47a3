//! Chooses the member that is promoted to primary.

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::position::LogPosition;

/// State of a member that may be promoted, or that limits which one may be. Members whose registration
/// is missing belong to the candidates as well, since they may hold acknowledged commits.
#[derive(Debug, Clone)]
pub struct PromotionCandidate {
    pub member: MemberId,
    /// Whether it may become the primary: it is registered and not draining, and its data centre is
    /// not being evacuated.
    pub eligible: bool,
    /// End of its log; `None` if it did not answer.
    pub received: Option<LogPosition>,
}

/// Log positions that the new primary must have received.
#[derive(Debug, Clone, Copy, Default)]
pub struct PromotionRequirements {
    /// End of the log of the old primary, if it still answers.
    pub old_primary: Option<LogPosition>,
    /// Whether commits are acknowledged only once a replica has received them. If so, no
    /// acknowledged commit may be lost.
    pub synchronous: bool,
    /// Covers the commits that hosts reported as acknowledged.
    pub acknowledged: Option<LogPosition>,
    /// Whether `acknowledged` also covers the commits of hosts whose processes have ended, and no host
    /// is missing.
    pub all_hosts_reported: bool,
}

/// Result of the choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Successor {
    /// This member meets all requirements.
    Ready(MemberId),
    /// This member has received the most, but lacks a part of the old primary's log.
    Behind(MemberId),
    /// No member can be promoted without losing an acknowledged commit.
    Unsafe,
}

/// Chooses the eligible member that has received the most, unless its promotion could lose an
/// acknowledged commit.
pub fn choose(
    candidates: &[PromotionCandidate],
    requirements: &PromotionRequirements,
) -> Successor {
    let answered = |c: &PromotionCandidate| Some((c.received?, c.member.clone()));
    let eligible = candidates.iter().filter(|c| c.eligible);
    let Some((best, member)) = eligible.filter_map(answered).max() else {
        return Successor::Unsafe;
    };
    let covers = |position: Option<LogPosition>| position.is_none_or(|p| best >= p);
    if requirements.synchronous && !holds_acknowledged_commits(candidates, requirements, &covers) {
        return Successor::Unsafe;
    }
    if covers(requirements.old_primary) {
        Successor::Ready(member)
    } else {
        Successor::Behind(member)
    }
}

/// Returns whether the best member holds every acknowledged commit. It must at least hold those that
/// hosts reported, whatever the members answered. Commits of hosts that did not report are each on
/// some member besides the old primary, so all of these members must have answered.
fn holds_acknowledged_commits(
    candidates: &[PromotionCandidate],
    requirements: &PromotionRequirements,
    covers: &impl Fn(Option<LogPosition>) -> bool,
) -> bool {
    let covers_members = || {
        let mut members = candidates.iter();
        members.all(|c| c.received.is_some() && covers(c.received))
    };
    covers(requirements.acknowledged) && (requirements.all_hosts_reported || covers_members())
}
