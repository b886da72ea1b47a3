//! Response to a statement that requests a slot.

use crate::policy::refusal::Refusal;

/// Identifies a waiting statement; later statements have higher numbers.
pub type Ticket = u64;

/// Response to a statement that requests a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    Granted,
    Waiting(Ticket),
    Refused(Refusal),
}
