//! Failures of a connection to a member.

use thiserror::Error;

use crate::model::error_code::ErrorCode;
use crate::wire_error::WireError;

/// Why a connection cannot be used any longer, or was not opened.
#[derive(Debug, Error)]
pub enum ConnectionError {
    #[error("{0}")]
    Wire(#[from] WireError),
    #[error("the member closed the connection")]
    Closed,
    #[error("the member did not answer in time")]
    Silent,
    #[error("the member refused the connection: {0:?}")]
    Refused(ErrorCode),
    #[error("the member's answer does not follow the protocol")]
    Protocol,
}
