//! Errors at the start of a gateway.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// Why a gateway failed to start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot listen on {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("cannot handle signals: {0}")]
    Signal(io::Error),
    #[error("cannot start the status server: {0}")]
    Status(String),
}
