//! Failures of a history file.

use std::path::PathBuf;

use thiserror::Error;

/// Why a history file cannot be written or read.
#[derive(Debug, Error)]
pub enum HistoryError {
    #[error("{}: {source}", path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{}:{line}: not a record: {source}", path.display())]
    Record {
        path: PathBuf,
        line: usize,
        source: serde_json::Error,
    },
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] serde_json::Error),
}
