//! Error codes of statements, independent of the client protocol.

use serde::Deserialize;
use serde::Serialize;

/// Why a statement or a session failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ErrorCode {
    /// Not run: no capacity at the moment.
    Busy,
    /// Not run: the transaction was rolled back before its commit was sent.
    Aborted,
    /// Not run: the member's log has not reached the required position.
    Lagging,
    /// Not run: the member is not the primary.
    ReadOnly,
    /// Not run: a different member answered at this address.
    Misrouted,
    /// Not run: the member accepts no more connections.
    ConnectionLimit,
    /// Not run: the member does not know the prepared statement.
    NoStatement,
    /// Ran, and failed.
    Failed,
    /// Timed out; whether it took effect is unknown.
    Timeout,
    /// Whether it took effect is unknown.
    Unknown,
    /// The key belongs to no organisation.
    Unauthorized,
    /// There is no route for this database name.
    NoDatabase,
    /// The message exceeds the size limit.
    TooLarge,
    /// The message is not valid in this state.
    Malformed,
}

impl ErrorCode {
    /// Returns whether a member that answers with the code ran the statement or may have.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Timeout | Self::Unknown)
    }

    /// Returns whether the code guarantees that the statement did not run.
    pub fn not_run(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Aborted
                | Self::Lagging
                | Self::ReadOnly
                | Self::Misrouted
                | Self::ConnectionLimit
                | Self::NoStatement
        )
    }
}
