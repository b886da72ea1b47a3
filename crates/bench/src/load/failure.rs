//! Failures of a caller's statements.

use thiserror::Error;

use crate::history::outcome::Outcome;

/// Why a statement did not succeed.
#[derive(Debug, Clone, Error)]
pub enum Failure {
    /// No connection could be opened, so the statement was not sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection ended after the statement was sent.
    #[error("no answer: {0}")]
    Lost(String),
    #[error("no answer before the caller's deadline")]
    TimedOut,
    #[error("{code}: {message} ({detail})")]
    Refused {
        code: String,
        message: String,
        detail: String,
    },
}

/// Prefix of the outcome in the detail field of an error.
const OUTCOME_PREFIX: &str = "outcome=";
/// SQLSTATE class of connection exceptions, which includes the code for an unknown outcome.
const CONNECTION_EXCEPTION_CLASS: &str = "08";

impl Failure {
    /// Whether the statement ran, as far as the caller can tell.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Connect(_) => Outcome::NotRun,
            Self::Lost(_) | Self::TimedOut => Outcome::Unknown,
            Self::Refused { code, detail, .. } => {
                match stated_outcome(detail) {
                    Some("not_run") => Outcome::NotRun,
                    Some("ran") => Outcome::Ran,
                    Some(_) => Outcome::Unknown,
                    None if code.starts_with(CONNECTION_EXCEPTION_CLASS) => Outcome::Unknown,
                    // An error that the endpoint itself reports rolls the statement back.
                    None => Outcome::NotRun,
                }
            }
        }
    }

    /// Returns the failure to report when the connection closed right after this error. Without a
    /// stated outcome the error may be about the connection rather than the statement, so the
    /// statement's outcome is unknown.
    pub fn after_disconnect(self) -> Self {
        match &self {
            Self::Refused { detail, .. } if stated_outcome(detail).is_none() => {
                Self::Lost(self.to_string())
            }
            _ => self,
        }
    }

    /// SQLSTATE, or a fixed name for a failure without one.
    pub fn code(&self) -> &str {
        match self {
            Self::Connect(_) => "connect",
            Self::Lost(_) => "lost",
            Self::TimedOut => "deadline",
            Self::Refused { code, .. } => code,
        }
    }

    /// Whether the connection can be reused.
    pub fn connection_usable(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }
}

/// Extracts the outcome from the detail field.
fn stated_outcome(detail: &str) -> Option<&str> {
    let rest = detail.split(OUTCOME_PREFIX).nth(1)?;
    let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '_');
    Some(&rest[..end.unwrap_or(rest.len())])
}
