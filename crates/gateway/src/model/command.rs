//! Messages from the proxy to a member.

use bytes::Bytes;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;

use crate::model::statement::Access;

/// One message to a member. `id` is the client's request id; commands without an id originate from
/// the proxy itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// The first message on a connection.
    Start {
        service: String,
        organisation: String,
        member: MemberId,
    },
    /// Resets the session's settings and prepared statements.
    Reset,
    Set {
        name: Bytes,
        value: Bytes,
    },
    Prepare {
        name: Bytes,
        access: Access,
        template: Bytes,
    },
    Begin {
        read_only: bool,
        after: Option<LogPosition>,
    },
    Rollback,
    Commit {
        id: Bytes,
    },
    /// A statement that is forwarded unchanged. Only reads may carry a position.
    Forward {
        id: Bytes,
        after: Option<LogPosition>,
        text: Bytes,
    },
    /// Runs a prepared statement, by the name that the proxy gave it.
    Execute {
        id: Bytes,
        after: Option<LogPosition>,
        name: Bytes,
        arguments: Bytes,
    },
    Status,
    /// Demotes a primary of a lower term to a replica.
    Demote(Term),
    Close,
}
