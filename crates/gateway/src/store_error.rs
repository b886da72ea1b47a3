//! Failures of a store call.

use thiserror::Error;

use crate::model::object::Object;

/// Why a store call failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The call may have taken effect, now or later.
    #[error("no answer from the store: {0}")]
    NoAnswer(String),
    /// Nothing was done.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The object has another revision; it is attached if the answer held it.
    #[error("the object was changed by another writer")]
    Conflict(Option<Box<Object>>),
    #[error("the object does not exist")]
    Missing,
    /// The history before the requested revision is gone.
    #[error("the store no longer has this revision's history")]
    Compacted,
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(String),
}
