//! Outcomes of operations.

use serde::Deserialize;
use serde::Serialize;

/// Outcome of an operation as its caller knows it, after the answer or a lost connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Ran,
    NotRun,
    Unknown,
}
