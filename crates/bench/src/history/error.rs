//! Errors of reading and writing history files.

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
    #[error("{}:{line}: invalid history record: {source}", path.display())]
    Record {
        path: PathBuf,
        line: usize,
        source: serde_json::Error,
    },
    #[error("cannot encode a history record: {0}")]
    Encode(#[from] serde_json::Error),
}
