//! Error answers of the stand-in.

use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Serialize;
use thiserror::Error;

/// Error answer; a conflict also carries the current version.
#[derive(Debug, Error, Serialize, JsonSchema)]
#[error("{message}")]
pub struct Refusal {
    pub message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub current: Option<Revision>,
    #[serde(skip)]
    status: ErrorStatusCode,
}

impl Refusal {
    /// The conditional update met another version; 0 means that the object does not exist.
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

    /// A simulated outage is in force.
    pub fn down() -> Self {
        Self {
            message: "the store is down".to_owned(),
            current: None,
            status: ErrorStatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl HttpResponseError for Refusal {
    fn status_code(&self) -> ErrorStatusCode {
        self.status
    }
}

impl From<HttpError> for Refusal {
    fn from(error: HttpError) -> Self {
        Self {
            message: error.external_message,
            current: None,
            status: error.status_code,
        }
    }
}
