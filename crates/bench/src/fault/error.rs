//! Failures of the fault proxy.

use std::net::SocketAddr;

use thiserror::Error;

/// Why the proxy or one of its links could not start or be changed.
#[derive(Debug, Error)]
pub enum FaultError {
    #[error("link `{name}`: cannot bind {listen}: {source}")]
    Bind {
        name: String,
        listen: SocketAddr,
        source: std::io::Error,
    },
    #[error("link `{0}` exists already; give each link its own name")]
    Duplicate(String),
    #[error("there is no link `{0}`")]
    Unknown(String),
    #[error("cannot start the API: {0}")]
    Api(String),
    #[error("cannot print the ready line: {0}")]
    Output(#[from] std::io::Error),
}
