//! Startup errors of the administration API.

use dropshot::ApiDescriptionRegisterError;
use dropshot::BuildError;
use thiserror::Error;

/// Why the administration API could not start.
#[derive(Debug, Error)]
pub enum AdminStartError {
    #[error("the API description is not valid: {0}")]
    Api(#[from] ApiDescriptionRegisterError),
    #[error("cannot listen on the administration address: {0}; change the settings file")]
    Listen(#[from] BuildError),
}
