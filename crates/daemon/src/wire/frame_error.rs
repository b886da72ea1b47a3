//! Errors while reading or writing messages.

use thiserror::Error;

/// An error while reading or writing messages.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("a message of type {tag:?} has length {length}; the limit is {limit} bytes")]
    TooLarge {
        tag: char,
        length: u32,
        limit: usize,
    },
    #[error("a message of type {tag:?} has length {length}, below the minimum of 4")]
    TooShort { tag: char, length: u32 },
    #[error("a message of type {0:?} is malformed")]
    Malformed(char),
}
