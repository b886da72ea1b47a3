//! Results of jobs.

use bytes::Bytes;
use magnoliahatch_core::position::LogPosition;
use serde::Deserialize;
use serde::Serialize;

use crate::model::error_code::ErrorCode;

/// A member's complete answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    pub rows: Vec<Bytes>,
    /// The member's proof that it ran the statement.
    pub proof: Bytes,
    /// End of the member's log after the statement.
    pub position: Option<LogPosition>,
}

impl Answer {
    /// Size of all rows.
    pub fn row_bytes(&self) -> u64 {
        self.rows.iter().map(|row| row.len() as u64).sum()
    }
}

/// Why a job has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    pub code: ErrorCode,
    pub cause: Cause,
}

/// The cause of a failure, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The member answered with an error.
    Member,
    /// The connection to the member was closed or timed out.
    Connection,
    /// No connection or slot became free in time.
    Queue,
    /// The host that holds the member's connections cannot be reached, or, with the code `TooLarge`,
    /// the statement or its answer is too large for a frame between the hosts.
    Peer,
    /// The primary is being replaced, or this host's view is too old to use it.
    Primary,
    /// No recent enough log position of the primary is known.
    Floor,
    /// No member may run the statement.
    NoMember,
    /// The organisation exceeded its rate limit.
    Rate,
    /// This host's configuration is too old to accept the key.
    Stale,
    /// The statement exceeded its timeout.
    Deadline,
    /// The transaction was idle for too long.
    Idle,
    /// The key belongs to another organisation since the statement or its transaction began, or the
    /// organisation's statements may no longer run in the regions that the transaction uses.
    Access,
    /// The statement cannot be passed on as one message. It was not sent.
    Message,
    /// The member's answer cannot be passed on.
    Reply,
}

/// Result of a job.
pub type Outcome = Result<Answer, Failure>;

/// Creates a failure.
pub fn failure(code: ErrorCode, cause: Cause) -> Failure {
    Failure { code, cause }
}
