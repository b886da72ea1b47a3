//! Messages to a client and from a member.

use bytes::Bytes;
use magnoliahatch_core::position::LogPosition;

use crate::model::error_code::ErrorCode;
use crate::model::transaction_state::TransactionState;

/// One message of the answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    Ready {
        state: TransactionState,
        position: Option<LogPosition>,
    },
    Row(Bytes),
    /// Success, with the member's proof that it ran the statement; `None` if the proxy answered
    /// itself.
    Complete(Option<Bytes>),
    Error {
        code: ErrorCode,
        text: Bytes,
    },
}
