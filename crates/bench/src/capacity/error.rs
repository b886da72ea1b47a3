//! Errors of the measurements.

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
    #[error("cannot read the counters: {0}")]
    Http(#[from] reqwest::Error),
    #[error("invalid counter: `{line}`")]
    Counter { line: String },
    #[error("cannot encode the report: {0}")]
    Encode(#[from] serde_json::Error),
    #[error("cannot write the report: {0}")]
    Output(#[from] std::io::Error),
    #[error("a measurement task panicked: {0}")]
    Task(#[from] tokio::task::JoinError),
}
