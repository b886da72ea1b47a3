//! Errors of the fault proxy.

use std::net::SocketAddr;

use thiserror::Error;

/// Error while starting the proxy or while adding or changing a link.
#[derive(Debug, Error)]
pub enum FaultError {
    #[error("link `{name}`: cannot bind {listen}: {source}")]
    Bind {
        name: String,
        listen: SocketAddr,
        source: std::io::Error,
    },
    #[error("link `{0}` already exists; link names must be unique")]
    DuplicateLink(String),
    #[error("link `{0}` does not exist")]
    UnknownLink(String),
    #[error("cannot start the API: {0}")]
    Api(String),
    #[error("cannot print the ready line: {0}")]
    Output(#[from] std::io::Error),
}
