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
    /// The memory for clients is short. The connection can still be used.
    #[error("there is no memory for the values and prepared statements of the session")]
    NoMemory,
    /// Nothing of the command was sent.
    #[error("the member had closed the connection, or sent something that was not asked for")]
    Stale,
    #[error("the member closed the connection")]
    Closed,
    #[error("the member did not answer in time")]
    Timeout,
    #[error("the member refused the connection or a command that prepares it: {0:?}")]
    Refused(ErrorCode),
    /// The memory for clients is short, and the answer is among the largest that it holds.
    #[error("there is no memory for the member's answer")]
    Memory,
    #[error("the member's answer violates the protocol")]
    Protocol,
}

impl ConnectionError {
    /// Whether nothing of the command was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::NoMemory)
    }

    /// Whether the member may have run the command.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self,
            Self::NotSent(_) | Self::NoMemory | Self::Stale | Self::Refused(_)
        )
    }

    /// Whether the member did not answer, so that its other connections may be broken as well.
    pub fn is_silence(&self) -> bool {
        matches!(
            self,
            Self::Wire(WireError::Io(_)) | Self::Closed | Self::Timeout
        )
    }

    /// The failure of a statement whose command ended with this error. `durable` tells whether the
    /// command commits a change, which may have taken effect unless it was not sent.
    pub fn failure(&self, durable: bool) -> Failure {
        match self {
            Self::NotSent(WireError::TooLarge(_)) => failure(ErrorCode::TooLarge, Cause::Message),
            Self::NotSent(_) => failure(ErrorCode::Malformed, Cause::Message),
            Self::NoMemory => failure(ErrorCode::Busy, Cause::Queue),
            Self::Stale => failure(ErrorCode::Aborted, Cause::Connection),
            _ if durable && self.is_silence() => failure(ErrorCode::Unknown, Cause::Connection),
            _ if durable => failure(ErrorCode::Unknown, Cause::Reply),
            _ if self.is_silence() => failure(ErrorCode::Aborted, Cause::Connection),
            Self::Refused(code) => failure(refusal_code(*code), Cause::Member),
            Self::Wire(WireError::TooLarge(_)) => failure(ErrorCode::TooLarge, Cause::Reply),
            _ => failure(ErrorCode::Aborted, Cause::Reply),
        }
    }
}

/// The code for a statement that was not sent since the member refused what had to precede it.
fn refusal_code(code: ErrorCode) -> ErrorCode {
    match code {
        ErrorCode::TooLarge | ErrorCode::Malformed => code,
        _ if code.not_run() => code,
        _ => ErrorCode::Aborted,
    }
}
