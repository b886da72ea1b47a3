//! Errors while starting the store stand-in.

use dropshot::ApiDescriptionRegisterError;
use dropshot::BuildError;
use thiserror::Error;

use crate::store::call_error::CallError;

/// Error while starting the store stand-in.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("invalid API description: {0}")]
    Api(#[from] ApiDescriptionRegisterError),
    #[error("cannot listen on the address of field `listen`: {0}")]
    Listen(#[from] BuildError),
    #[error("field `objects` lists {kind}/{name} more than once: {source}")]
    DuplicateObject {
        kind: String,
        name: String,
        source: CallError,
    },
}
