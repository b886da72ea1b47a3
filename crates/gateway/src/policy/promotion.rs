//! Decides the steps of a change of primary from the answers to its promotion orders.

use std::time::Duration;

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;

/// Answer of the platform to a promotion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The member becomes the primary within some hundred ms, unless it ends before.
    Accepted,
    /// The member is not running, so this order promotes nobody.
    NotRunning,
    /// The order was not carried out.
    Refused,
    /// The order may have been accepted.
    Unknown,
}

/// What a host knows of the record that makes it the holder of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// Revision of the record that this host wrote.
    pub written: Revision,
    /// Newest revision of the record that this host knows.
    pub newest: Revision,
    /// Time at which this was last known to be the newest revision.
    pub confirmed: Duration,
}

impl Holding {
    /// Time until which an order of this host may arrive, or `None` if it must not order. Another
    /// host takes a change over by writing the record, and waits for `max_age` after that before it
    /// sends an order of its own.
    pub fn order_deadline(&self, now: Duration, max_age: Duration) -> Option<Duration> {
        let deadline = self.confirmed + max_age;
        (self.newest <= self.written && now <= deadline).then_some(deadline)
    }
}

/// What the host that carries out the change does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Choose a member to promote.
    Choose,
    /// Record the member as the candidate, then order its promotion.
    Order(MemberId),
    /// Repeat the order for the recorded candidate after a pause.
    Repeat(MemberId),
    /// Wait until the member is the primary.
    AwaitEffect(MemberId),
    /// Record the old primary again, since no member was promoted.
    Restore,
    /// End the attempt and leave the change open for the next one.
    Suspend,
}

/// One attempt to carry out a change of primary.
///
/// An accepted order cannot be taken back, and its effect cannot be seen while the promoted member
/// is not running. So once an order may have been accepted, by this attempt or an earlier one of any
/// host, the old primary is not used again: its writes could be missing from the promoted member's
/// log. The change then ends only with a promoted member.
#[derive(Debug, Clone)]
pub struct Promotion {
    /// Whether an order may have been accepted since the change began.
    may_be_accepted: bool,
    /// The recorded candidate, if the answer to its last order was that it is not running.
    ended: Option<MemberId>,
}

impl Promotion {
    /// Starts an attempt. `candidate` is the member that the record of the change names already; an
    /// earlier attempt may have ordered its promotion. With `forgotten`, an attempt that the record
    /// does not show may have ordered one.
    pub fn start(candidate: Option<MemberId>, forgotten: bool) -> (Self, Step) {
        let promotion = Self {
            may_be_accepted: candidate.is_some() || forgotten,
            ended: None,
        };
        (promotion, candidate.map_or(Step::Choose, Step::Order))
    }

    /// Returns the step after a choice, which may have found no member.
    pub fn on_choice(&mut self, chosen: Option<MemberId>) -> Step {
        match chosen {
            Some(member) if self.ended.as_ref() == Some(&member) => Step::Repeat(member),
            Some(member) => Step::Order(member),
            None if self.may_be_accepted => Step::Suspend,
            None => Step::Restore,
        }
    }

    /// Returns the step after the answer to an order for `member`.
    pub fn on_answer(&mut self, member: MemberId, answer: OrderAnswer) -> Step {
        match answer {
            OrderAnswer::Accepted => {
                self.may_be_accepted = true;
                Step::AwaitEffect(member)
            }
            OrderAnswer::Unknown => {
                self.may_be_accepted = true;
                Step::Repeat(member)
            }
            OrderAnswer::Refused => Step::Repeat(member),
            OrderAnswer::NotRunning if self.may_be_accepted => {
                self.ended = Some(member);
                Step::Choose
            }
            OrderAnswer::NotRunning => Step::Restore,
        }
    }

    /// Returns the step after an accepted promotion of `member` has not taken effect in time. The
    /// answer to another order tells whether the member still runs.
    pub fn on_no_effect(&mut self, member: MemberId) -> Step {
        Step::Repeat(member)
    }
}
