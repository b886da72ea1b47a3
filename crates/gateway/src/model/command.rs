//! Messages to a member.

use bytes::Bytes;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;

use crate::model::statement::Access;

/// One message to a member. `id` is the client's request id; commands without one are the proxy's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// The first message on a connection.
    Start {
        service: String,
        organisation: String,
        member: MemberId,
    },
    /// Drops values and prepared statements.
    Reset,
    Set {
        name: Bytes,
        value: Bytes,
    },
    Prepare {
        name: Bytes,
        access: Access,
        shape: Bytes,
    },
    Begin {
        read_only: bool,
        after: Option<LogPosition>,
    },
    Rollback,
    Commit {
        id: Bytes,
    },
    /// A statement forwarded unchanged; only reads may carry a position.
    Forward {
        id: Bytes,
        after: Option<LogPosition>,
        text: Bytes,
    },
    /// Runs a prepared statement under the proxy's name for it.
    Execute {
        id: Bytes,
        after: Option<LogPosition>,
        name: Bytes,
        arguments: Bytes,
    },
    Status,
    /// Makes a primary of a lower term a replica.
    Demote(Term),
    Close,
}
