//! Errors as the protocol reports them.

use rusqlite::ErrorCode;
use rusqlite::ffi;
use thiserror::Error;

/// An error with its SQLSTATE.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{code}: {message}")]
pub struct SqlError {
    pub code: &'static str,
    pub message: String,
    /// The server closes the connection after reporting it.
    pub fatal: bool,
}

impl SqlError {
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            fatal: false,
        }
    }

    pub(crate) fn fatal(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            fatal: true,
            ..Self::new(code, message)
        }
    }

    pub(crate) fn read_only() -> Self {
        Self::new(
            "25006",
            "cannot execute a write in a read-only transaction: this member is not the primary",
        )
    }

    pub(crate) fn cancelled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }
}

impl From<std::io::Error> for SqlError {
    fn from(error: std::io::Error) -> Self {
        Self::fatal("58030", error.to_string())
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = match &error {
            rusqlite::Error::SqliteFailure(_, Some(message)) => message.clone(),
            rusqlite::Error::SqlInputError { msg, .. } => msg.clone(),
            other => other.to_string(),
        };
        let code = match error.sqlite_error() {
            Some(failure) => state_of(failure, &message),
            None => state_of_text(&message),
        };
        Self::new(code, message)
    }
}

fn state_of(failure: &ffi::Error, message: &str) -> &'static str {
    match failure.extended_code {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => return "23505",
        ffi::SQLITE_CONSTRAINT_NOTNULL => return "23502",
        ffi::SQLITE_CONSTRAINT_CHECK => return "23514",
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => return "23503",
        ffi::SQLITE_BUSY_SNAPSHOT => return "40001",
        _ => {}
    }
    match failure.code {
        ErrorCode::OperationInterrupted => "57014",
        ErrorCode::ReadOnly => "25006",
        ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked => "55P03",
        ErrorCode::TypeMismatch => "42804",
        ErrorCode::DiskFull => "53100",
        _ => state_of_text(message),
    }
}

fn state_of_text(message: &str) -> &'static str {
    const TEXTS: [(&str, &str); 8] = [
        ("no such table", "42P01"),
        ("no such column", "42703"),
        ("has no column named", "42703"),
        ("already exists", "42P07"),
        ("no such function", "42883"),
        ("syntax error", "42601"),
        ("incomplete input", "42601"),
        ("unrecognized token", "42601"),
    ];
    TEXTS
        .iter()
        .find(|(text, _)| message.contains(text))
        .map_or("XX000", |(_, code)| code)
}
