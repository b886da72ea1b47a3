//! Failures of a call to the administration API.

use thiserror::Error;

use crate::admin::problem::Problem;
use crate::exit;

/// Why an administration call failed.
#[derive(Debug, Error)]
pub enum AdminClientError {
    /// The daemon refused or failed the call.
    #[error(transparent)]
    Problem(Problem),
    #[error("no address of an administration API is known; name one with --admin")]
    NoAddress,
    #[error("no daemon can be reached at {tried}; nothing was changed: {source}")]
    Unreachable {
        tried: String,
        source: reqwest::Error,
    },
    #[error(
        "the answer of {address} did not arrive, so a change may have taken effect; check with \
         `show` before repeating it: {source}"
    )]
    Lost {
        address: String,
        source: reqwest::Error,
    },
    #[error("{address} answered with status {status}, which no magnoliahatchd does")]
    Form { address: String, status: u16 },
}

impl AdminClientError {
    /// Exit code with which the command line reports this failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Problem(problem) => problem.exit_code(),
            Self::NoAddress => exit::USAGE,
            Self::Unreachable { .. } | Self::Lost { .. } | Self::Form { .. } => exit::FAILURE,
        }
    }
}
