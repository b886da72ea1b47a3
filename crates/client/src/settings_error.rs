//! Errors of settings files.

use std::path::PathBuf;

use thiserror::Error;

/// Why a settings file was rejected. Each message names the file and the problem.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{}: cannot read the settings file: {source}", path.display())]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{}:{line}: invalid JSON with comments: {message}", path.display())]
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
