//! Messages of a client.

use bytes::Bytes;

use crate::model::error_code::ErrorCode;
use crate::model::statement::Statement;

/// One message of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Opens the session on a route; the key may be absent.
    Start {
        database: Bytes,
        key: Bytes,
    },
    Query {
        id: Bytes,
        statement: Statement,
    },
    Close,
    /// A message that the codec could not accept, with the code for its answer.
    Invalid(ErrorCode),
}
