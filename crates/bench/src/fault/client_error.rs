//! Failures of a call to a fault proxy.

use thiserror::Error;

/// Why a call to a fault proxy failed.
#[derive(Debug, Error)]
pub enum FaultClientError {
    #[error("the fault proxy cannot be reached: {0}")]
    Unreachable(#[from] reqwest::Error),
    #[error("the fault proxy refused the change: {0}")]
    Refused(String),
}
