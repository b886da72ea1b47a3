//! Client statements, as parsed by the codec.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Whether a prepared statement reads or writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Access {
    Read,
    Write,
}

/// One statement. Text that is forwarded to a member is kept unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    /// The complete text of a read.
    Read(Bytes),
    /// The complete text of a write.
    Write(Bytes),
    Set {
        name: Bytes,
        value: Bytes,
    },
    Prepare {
        name: Bytes,
        access: Access,
        template: Bytes,
    },
    Execute {
        name: Bytes,
        arguments: Bytes,
    },
    Deallocate {
        name: Bytes,
    },
}
