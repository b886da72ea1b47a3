//! Decides the steps of a change of primary from the answers to its promotion orders.

use magnoliahatch_core::ids::MemberId;

/// Answer of the platform to a promotion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The member becomes the primary within some hundred ms, unless it ends before.
    Accepted,
    /// The member is not running, so this order promotes nobody.
    NotRunning,
    /// The order was not carried out.
    Refused,
    /// No answer arrived, and the order may have been accepted.
    Unknown,
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
}

/// One attempt to carry out a change of primary.
#[derive(Debug)]
pub struct Promotion {
    /// Whether an order of this attempt may have been accepted.
    may_be_accepted: bool,
}

impl Promotion {
    /// Starts an attempt. `candidate` is the member that the record of the change names already.
    pub fn start(candidate: Option<MemberId>) -> (Self, Step) {
        let promotion = Self {
            may_be_accepted: false,
        };
        (promotion, candidate.map_or(Step::Choose, Step::Order))
    }

    /// Returns the step after a choice, which may have found no member.
    pub fn on_choice(&mut self, chosen: Option<MemberId>) -> Step {
        chosen.map_or(Step::Restore, Step::Order)
    }

    /// Returns the step after the answer to an order for `member`.
    pub fn on_answer(&mut self, member: MemberId, answer: OrderAnswer) -> Step {
        match answer {
            OrderAnswer::Accepted => Step::AwaitEffect(member),
            OrderAnswer::NotRunning if !self.may_be_accepted => Step::Restore,
            OrderAnswer::NotRunning | OrderAnswer::Refused => Step::Repeat(member),
            OrderAnswer::Unknown => {
                self.may_be_accepted = true;
                Step::Repeat(member)
            }
        }
    }
}
