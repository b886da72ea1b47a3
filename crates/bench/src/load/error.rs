//! Failures of the load tool.

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
    #[error("the scenario is not valid: {0}")]
    Scenario(String),
    #[error("no daemon answered for {route} in time; the last failure: {last}")]
    NotServing { route: String, last: String },
    #[error("the results cannot be written: {0}")]
    Output(#[from] std::io::Error),
    #[error("the results cannot be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    #[error("stopped before the end")]
    Stopped,
    #[error("a task of the run panicked: {0}")]
    Task(#[from] tokio::task::JoinError),
}
