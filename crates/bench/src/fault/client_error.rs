//! Errors of requests to a fault proxy.

use thiserror::Error;

/// Error of a request to a fault proxy.
#[derive(Debug, Error)]
pub enum FaultClientError {
    #[error("request to the fault proxy failed: {0}")]
    Request(#[from] reqwest::Error),
    #[error("the fault proxy rejected the request: {0}")]
    Refused(String),
}
