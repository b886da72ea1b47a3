//! Errors of a connection to a member.

use thiserror::Error;

use crate::model::error_code::ErrorCode;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::wire_error::WireError;

/// Why a connection to a member could not be opened or can no longer be used.
#[derive(Debug, Error)]
pub enum ConnectionError {
    #[error("{0}")]
    Wire(#[from] WireError),
    /// The connection can still be used.
    #[error("the command was not sent: {0}")]
    NotSent(WireError),
    #[error("the member closed the connection")]
    Closed,
    #[error("the member did not answer in time")]
    Timeout,
    #[error("the member refused the connection: {0:?}")]
    Refused(ErrorCode),
    #[error("the member's answer violates the protocol")]
    Protocol,
}

impl ConnectionError {
    /// The failure of a statement whose command was not sent; `None` for other errors.
    pub fn refusal(&self) -> Option<Failure> {
        match self {
            Self::NotSent(WireError::TooLarge(_)) => {
                Some(failure(ErrorCode::TooLarge, Cause::Message))
            }
            Self::NotSent(_) => Some(failure(ErrorCode::Malformed, Cause::Message)),
            _ => None,
        }
    }
}
