//! Errors of HTTP calls with a deadline.

use std::io;

/// Why a call has no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum BoundedCallError {
    #[error("the deadline passed without a complete answer")]
    DeadlinePassed,
    #[error("connection: {0}")]
    Connection(#[from] io::Error),
    #[error("the request cannot be encoded: {0}")]
    Request(#[from] http::Error),
    #[error("HTTP: {0}")]
    Http(#[from] hyper::Error),
}
