//! Errors of the load tool.

use thiserror::Error;

use crate::harness::error::HarnessError;
use crate::history::error::HistoryError;

/// Why a run could not be completed.
#[derive(Debug, Error)]
pub enum LoadError {
    #[error(transparent)]
    Harness(#[from] HarnessError),
    #[error(transparent)]
    History(#[from] HistoryError),
    #[error("invalid scenario: {0}")]
    Scenario(String),
    #[error("no host served route {route} in time; last failure: {last}")]
    NotServing { route: String, last: String },
    #[error("cannot write the results: {0}")]
    Output(#[from] std::io::Error),
    #[error("cannot encode the results: {0}")]
    Encode(#[from] serde_json::Error),
    #[error("the run was stopped before it was complete")]
    Stopped,
    #[error("a task of the run panicked: {0}")]
    Task(#[from] tokio::task::JoinError),
}
