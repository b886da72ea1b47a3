//! Why a session ends early.

use thiserror::Error;

use crate::model::client_refusal::ClientRefusal;
use crate::wire_error::WireError;

/// Why nothing more can be read from or written to a client.
#[derive(Debug, Error)]
pub enum SessionEnd {
    #[error("{0}")]
    Wire(#[from] WireError),
    /// The client exceeded a limit while the host read from it, so that it can still be told.
    #[error("the client exceeded a limit: {0:?}")]
    Refused(ClientRefusal),
    /// The client exceeded a limit in the middle of an answer.
    #[error("the client did not read an answer: {0:?}")]
    Unread(ClientRefusal),
}

impl From<std::io::Error> for SessionEnd {
    fn from(error: std::io::Error) -> Self {
        Self::Wire(error.into())
    }
}

impl From<ClientRefusal> for SessionEnd {
    fn from(refusal: ClientRefusal) -> Self {
        Self::Refused(refusal)
    }
}
