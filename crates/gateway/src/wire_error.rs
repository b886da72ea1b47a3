//! Errors of a connection's codec.

use std::io;

use thiserror::Error;

/// Why no more messages can be read from or written to a connection.
#[derive(Debug, Error)]
pub enum WireError {
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    #[error("a message exceeds {0} bytes")]
    TooLarge(usize),
    #[error("a message is not valid: {0}")]
    Malformed(&'static str),
    #[error("a message cannot be encoded: {0}")]
    Unencodable(&'static str),
}
