//! Errors of a connection to a member.

use thiserror::Error;

use crate::model::error_code::ErrorCode;
use crate::wire_error::WireError;

/// Why a connection to a member could not be opened or can no longer be used.
#[derive(Debug, Error)]
pub enum ConnectionError {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("the member closed the connection")]
    Closed,
    #[error("the member did not answer in time")]
    Timeout,
    #[error("the member refused the connection: {0:?}")]
    Refused(ErrorCode),
    #[error("the member's answer violates the protocol")]
    Protocol,
}
