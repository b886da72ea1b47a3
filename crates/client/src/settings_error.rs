//! Failures of a settings file.

use std::path::PathBuf;

use thiserror::Error;

/// Why a settings file was refused; each message names the file and what to change.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{}: cannot read the settings file: {source}", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{}:{line}: not JSON with comments: {message}", path.display())]
    Syntax {
        path: PathBuf,
        line: usize,
        message: String,
    },
    #[error("{}:{line}: field `{field}`: {message}", path.display())]
    Field {
        path: PathBuf,
        line: usize,
        field: String,
        message: String,
    },
}
