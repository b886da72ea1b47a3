//! Failures of a codec.

use std::io;

use thiserror::Error;

/// Why a connection's messages cannot be followed any longer.
#[derive(Debug, Error)]
pub enum WireError {
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    #[error("a message exceeds {0} bytes")]
    TooLarge(usize),
    #[error("a message is not valid: {0}")]
    Malformed(&'static str),
}
