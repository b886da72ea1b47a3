//! Failures of a measurement.

use thiserror::Error;

use crate::harness::error::HarnessError;
use crate::load::error::LoadError;
use crate::load::failure::Failure;

/// Why a measurement could not be completed.
#[derive(Debug, Error)]
pub enum CapacityError {
    #[error(transparent)]
    Harness(#[from] HarnessError),
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error(transparent)]
    Statement(#[from] Failure),
    #[error("a counter cannot be read: {0}")]
    Http(#[from] reqwest::Error),
    #[error("`{line}` is not a counter")]
    Counter { line: String },
    #[error("the report cannot be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    #[error("the report cannot be written: {0}")]
    Output(#[from] std::io::Error),
    #[error("a task of the measurement panicked: {0}")]
    Task(#[from] tokio::task::JoinError),
}
