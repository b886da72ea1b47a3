//! Error responses of the store stand-in.

use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Serialize;
use thiserror::Error;

/// Error response body. A version conflict also contains the current version.
#[derive(Debug, Error, Serialize, JsonSchema)]
#[error("{message}")]
pub struct CallError {
    pub message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub current: Option<Revision>,
    #[serde(skip)]
    status: ErrorStatusCode,
}

impl CallError {
    /// The object is not at the expected version. A `current` of 0 means that it does not exist.
    pub fn conflict(current: Revision) -> Self {
        Self {
            message: format!("the object is at version {current}"),
            current: Some(current),
            status: ErrorStatusCode::CONFLICT,
        }
    }

    /// The object does not exist.
    pub fn not_found() -> Self {
        Self {
            message: "the object does not exist".to_owned(),
            current: None,
            status: ErrorStatusCode::NOT_FOUND,
        }
    }

    /// The stand-in simulates an outage or is shutting down.
    pub fn down() -> Self {
        Self {
            message: "the store is down".to_owned(),
            current: None,
            status: ErrorStatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl HttpResponseError for CallError {
    fn status_code(&self) -> ErrorStatusCode {
        self.status
    }
}

impl From<HttpError> for CallError {
    fn from(error: HttpError) -> Self {
        Self {
            message: error.external_message,
            current: None,
            status: error.status_code,
        }
    }
}
