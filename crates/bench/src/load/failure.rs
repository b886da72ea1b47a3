//! Why a statement did not succeed.

use thiserror::Error;

use crate::history::outcome::Outcome;

/// Why a statement did not succeed.
#[derive(Debug, Clone, Error)]
pub enum Failure {
    /// Nothing was sent.
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

/// Prefix of the outcome in an error's detail.
const OUTCOME: &str = "outcome=";
/// Class of connection errors and code of an unknown outcome.
const UNKNOWN_CODE: &str = "08";

impl Failure {
    /// What the caller knows after the failure.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Connect(_) => Outcome::NotRun,
            Self::Lost(_) | Self::TimedOut => Outcome::Unknown,
            Self::Refused { code, detail, .. } => {
                match stated(detail) {
                    Some("not_run") => Outcome::NotRun,
                    Some("ran") => Outcome::Ran,
                    Some(_) => Outcome::Unknown,
                    None if code.starts_with(UNKNOWN_CODE) => Outcome::Unknown,
                    // An error of the endpoint undoes its statement.
                    None => Outcome::NotRun,
                }
            }
        }
    }

    /// The connection ended after this error. Without a stated outcome the error may concern the
    /// connection only, so the statement's outcome is unknown.
    pub fn and_end(self) -> Self {
        match &self {
            Self::Refused { detail, .. } if stated(detail).is_none() => {
                Self::Lost(self.to_string())
            }
            _ => self,
        }
    }

    /// SQLSTATE, or a name for failures without one.
    pub fn code(&self) -> &str {
        match self {
            Self::Connect(_) => "connect",
            Self::Lost(_) => "lost",
            Self::TimedOut => "deadline",
            Self::Refused { code, .. } => code,
        }
    }

    /// Whether the connection may be used again.
    pub fn keeps_connection(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }
}

/// Outcome that the detail states.
fn stated(detail: &str) -> Option<&str> {
    let rest = detail.split(OUTCOME).nth(1)?;
    let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '_');
    Some(&rest[..end.unwrap_or(rest.len())])
}
