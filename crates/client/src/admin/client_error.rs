//! Failures of a call to the administration API.

use thiserror::Error;

use crate::admin::problem::Problem;
use crate::exit_code;

/// Why an administration call failed.
#[derive(Debug, Error)]
pub enum AdminClientError {
    /// The daemon refused the call or failed to process it.
    #[error(transparent)]
    Problem(Problem),
    #[error("no administration address is configured; pass one with --admin")]
    NoAddress,
    #[error("cannot reach a daemon at {addresses}; nothing was changed: {source}")]
    Unreachable {
        addresses: String,
        source: reqwest::Error,
    },
    #[error(
        "no response arrived from {address}, so a change may have taken effect; check with \
         `show` before retrying: {source}"
    )]
    ResponseLost {
        address: String,
        source: reqwest::Error,
    },
    #[error("unexpected response with status {status} from {address}; is it a magnoliahatchd?")]
    UnexpectedResponse { address: String, status: u16 },
}

impl AdminClientError {
    /// Exit code of the command line for this failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Problem(problem) => problem.exit_code(),
            Self::NoAddress => exit_code::USAGE,
            Self::Unreachable { .. }
            | Self::ResponseLost { .. }
            | Self::UnexpectedResponse { .. } => exit_code::FAILURE,
        }
    }
}
