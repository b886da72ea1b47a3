//! Errors of the promotion call.

use thiserror::Error;

/// Why a promotion was not accepted.
#[derive(Debug, Error)]
pub enum PromoteError {
    /// Whether the order was accepted is not known.
    #[error("no outcome of the promotion call: {0}")]
    Unknown(String),
    /// The member to promote is not running, or the call conflicts with another one.
    #[error("the promotion was refused as a conflict")]
    Conflict,
    #[error("the promotion was refused with status {0}")]
    Refused(u16),
}
