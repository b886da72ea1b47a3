//! Messages to a client and from a member.

use bytes::Bytes;
use magnoliahatch_core::position::LogPosition;

use crate::model::error_code::ErrorCode;
use crate::model::transaction_state::TransactionState;

/// One message of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Ready {
        state: TransactionState,
        position: Option<LogPosition>,
    },
    Row(Bytes),
    /// Success; a member's proof that it ran the statement, none if the proxy answered itself.
    Complete(Option<Bytes>),
    Error {
        code: ErrorCode,
        text: Bytes,
    },
}
