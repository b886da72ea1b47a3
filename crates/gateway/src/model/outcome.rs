//! Result of a job.

use bytes::Bytes;
use magnoliahatch_core::position::LogPosition;
use serde::Deserialize;
use serde::Serialize;

use crate::model::error_code::ErrorCode;

/// A complete answer of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub rows: Vec<Bytes>,
    pub proof: Bytes,
    /// End of the member's log after the statement.
    pub position: Option<LogPosition>,
}

/// Why a job has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    pub code: ErrorCode,
    pub cause: Cause,
}

/// The event that decided a failure; it goes into logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The member answered with an error.
    Member,
    /// The connection to the member ended or stayed silent.
    Connection,
    /// No connection or slot was free in time.
    Queue,
    /// The host that holds the member's connections cannot be reached.
    Peer,
    /// The primary is being replaced, or this host's view is too old to use it.
    Primary,
    /// No position of the primary is known that is recent enough.
    Floor,
    /// No member may run the statement.
    NoMember,
    /// The organisation has used its rate.
    Rate,
    /// The configuration is too old to trust the key.
    Stale,
    /// The statement exceeded its time limit.
    Deadline,
    /// The transaction was idle for too long.
    Idle,
}

/// What became of a job.
pub type Outcome = Result<Answer, Failure>;

/// A failure.
pub fn failure(code: ErrorCode, cause: Cause) -> Failure {
    Failure { code, cause }
}
