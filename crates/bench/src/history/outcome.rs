//! What a caller knows about an operation.

use serde::Deserialize;
use serde::Serialize;

/// What a caller knows about an operation after its answer or the loss of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Ran,
    NotRun,
    Unknown,
}
