//! Errors while a connection to a member is opened.

use thiserror::Error;

use crate::wire::frame_error::FrameError;

/// Errors while a connection to a member is opened. No client statement has been sent yet.
#[derive(Debug, Error)]
pub enum OpenError {
    #[error("cannot connect to the member: {0}")]
    Connect(#[from] std::io::Error),
    #[error("the member did not answer in time")]
    Timeout,
    #[error("the member ended the connection")]
    Closed,
    #[error("the member sent what the protocol does not allow: {0}")]
    Protocol(#[from] FrameError),
    #[error("the member asked for an authentication method that is not supported")]
    Authentication,
    #[error("the member refused the connection: {code} {message}")]
    Refused { code: String, message: String },
}
