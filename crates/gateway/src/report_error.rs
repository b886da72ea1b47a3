//! Errors of the call that brings a usage report.

use thiserror::Error;

/// Why a usage report was not accepted.
#[derive(Debug, Error)]
pub enum ReportError {
    /// Whether the report was taken is not known.
    #[error("no outcome of the report: {0}")]
    Unknown(String),
    #[error("the report was refused with status {0}")]
    Refused(u16),
}
