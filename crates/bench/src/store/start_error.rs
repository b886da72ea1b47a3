//! Failures to start the stand-in.

use dropshot::ApiDescriptionRegisterError;
use dropshot::BuildError;
use thiserror::Error;

use crate::store::refusal::Refusal;

/// Why the stand-in did not start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("the API description is not valid: {0}")]
    Api(#[from] ApiDescriptionRegisterError),
    #[error("cannot listen on the address of field `listen`: {0}")]
    Listen(#[from] BuildError),
    #[error("field `objects` names {kind}/{name} twice: {source}")]
    Seed {
        kind: String,
        name: String,
        source: Refusal,
    },
}
