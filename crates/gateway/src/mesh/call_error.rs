//! Errors of a call to another host.

use thiserror::Error;

/// Why a call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// The call was not sent.
    #[error("the host cannot be reached")]
    Unreachable,
    /// Another process answers at the host's address, so the registered one has ended.
    #[error("the host's process has ended")]
    Ended,
    /// The call was not sent, and others on the connection go on.
    #[error("the call is too large for a frame")]
    TooLarge,
    /// The call was not sent: the memory for clients is short.
    #[error("there is no memory for the call")]
    Memory,
    /// The call was sent, but it is unknown whether it was carried out.
    #[error("the connection ended, or the time limit passed, before the answer")]
    Lost,
}
