//! Messages from a client.

use bytes::Bytes;

use crate::model::error_code::ErrorCode;
use crate::model::statement::Statement;

/// One message from a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Opens a session on a route; the key may be empty.
    Start {
        database: Bytes,
        key: Bytes,
    },
    Query {
        id: Bytes,
        statement: Statement,
    },
    Close,
    /// A message that the codec rejected, with the error code for the answer.
    Invalid(ErrorCode),
}
