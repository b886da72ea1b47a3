//! Errors of calls to the platform's store.

use magnoliahatch_core::ids::Revision;
use thiserror::Error;

/// Why a store call failed, and whether the change may have taken effect.
#[derive(Debug, Error)]
pub enum StoreError {
    #[error("{kind}/{name} does not exist")]
    NotFound { kind: String, name: String },
    #[error("{kind}/{name} is at version {current}, not {expected}; read it again and repeat")]
    Conflict {
        kind: String,
        name: String,
        expected: Revision,
        current: Revision,
    },
    #[error("the store is unavailable: {0}")]
    Unavailable(#[source] reqwest::Error),
    #[error("the store answered with status {0}")]
    Status(u16),
    #[error("an object of the store cannot be read: {0}")]
    Format(#[from] serde_json::Error),
}
