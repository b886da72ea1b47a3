//! Chooses the member that becomes the next primary.

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::position::LogPosition;

/// Another member of the service.
#[derive(Debug, Clone)]
pub struct Contender {
    pub member: MemberId,
    /// Whether it may become the primary: it stays, and its data centre is in service.
    pub eligible: bool,
    /// End of its log; none if it did not answer.
    pub received: Option<LogPosition>,
}

/// What the new primary must hold.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// End of the log of a primary that still answers.
    pub primary: Option<LogPosition>,
    /// Whether a commit is acknowledged only once a replica has received it; then none may be lost.
    pub synchronous: bool,
    /// Last commit that a host acknowledged.
    pub acknowledged: Option<LogPosition>,
    /// Whether every host that may have acknowledged a commit has reported its last one.
    pub complete: bool,
}

/// Result of a look at the contenders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Successor {
    /// It holds what is demanded.
    Ready(MemberId),
    /// It has received most, but may lack what the primary still sends.
    Behind(MemberId),
    /// No member can be promoted without losing an acknowledged commit.
    Unsafe,
}

/// The eligible member that has received most.
pub fn choose(contenders: &[Contender], demand: &Demand) -> Successor {
    let answered = |c: &Contender| Some((c.received?, c.member.clone()));
    let eligible = contenders.iter().filter(|c| c.eligible);
    let Some((best, member)) = eligible.filter_map(answered).max() else {
        return Successor::Unsafe;
    };
    let covers = |position: Option<LogPosition>| position.is_none_or(|p| best >= p);
    if demand.synchronous && !is_safe(contenders, demand, &covers) {
        return Successor::Unsafe;
    }
    if covers(demand.primary) {
        Successor::Ready(member)
    } else {
        Successor::Behind(member)
    }
}

/// An acknowledged commit is on some other member: either all of them have told what they hold, or
/// all hosts have told what they acknowledged.
fn is_safe(
    contenders: &[Contender],
    demand: &Demand,
    covers: &impl Fn(Option<LogPosition>) -> bool,
) -> bool {
    let members = contenders
        .iter()
        .all(|c| c.received.is_some() && covers(c.received));
    members || (demand.complete && covers(demand.acknowledged))
}
