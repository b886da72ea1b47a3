//! Errors of a store call.

use thiserror::Error;

use crate::model::object::Object;

/// Why a store call failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The call may have taken effect, or may do so later.
    #[error("no answer from the store: {0}")]
    NoAnswer(String),
    /// The call had no effect.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The object has another revision. Holds the current object if the answer contained it.
    #[error("the object was changed by another writer")]
    Conflict(Option<Box<Object>>),
    /// Nothing was sent.
    #[error("the store can hold no object with the name {0:?}")]
    Name(String),
    #[error("the object does not exist")]
    Missing,
    /// The store no longer has the history since the requested revision.
    #[error("the store no longer has this revision's history")]
    Compacted,
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(String),
}
