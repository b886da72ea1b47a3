//! Why a statement gets no slot.

use std::time::Duration;

/// Why a statement gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// With this expected wait it would end after its deadline.
    ExpectedWait(Duration),
    /// The queue is full.
    Full,
    /// It waited until its deadline could no longer be met.
    Deadline,
    /// It gave its place in a full queue to another statement.
    Displaced,
}

impl Refusal {
    /// Name in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::ExpectedWait(_) => "expected_wait",
            Self::Full => "full",
            Self::Deadline => "deadline",
            Self::Displaced => "displaced",
        }
    }
}
