//! Why a statement did not succeed.

use thiserror::Error;

use crate::history::outcome::Outcome;

/// Why a statement did not succeed.
#[derive(Debug, Clone, Error)]
pub enum Failure {
    /// Nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection ended, or its deadline passed, after the statement was sent.
    #[error("no answer: {0}")]
    Lost(String),
    #[error("{code}: {message} ({detail})")]
    Refused {
        code: String,
        message: String,
        detail: String,
        /// The session ended with it.
        fatal: bool,
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
            Self::Lost(_) => Outcome::Unknown,
            Self::Refused { code, detail, .. } => {
                let stated = detail.split(OUTCOME).nth(1).map(|rest| {
                    let end = rest.find(|c: char| !c.is_ascii_lowercase() && c != '_');
                    &rest[..end.unwrap_or(rest.len())]
                });
                match stated {
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

    /// SQLSTATE, or a name for failures without one.
    pub fn code(&self) -> &str {
        match self {
            Self::Connect(_) => "connect",
            Self::Lost(_) => "lost",
            Self::Refused { code, .. } => code,
        }
    }

    /// Whether the connection may be used again.
    pub fn keeps_connection(&self) -> bool {
        matches!(self, Self::Refused { fatal: false, .. })
    }
}
