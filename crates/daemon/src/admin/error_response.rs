//! HTTP error responses.

use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use magnoliahatch_client::admin::problem::Problem;
use magnoliahatch_client::admin::problem::ProblemCode;
use magnoliahatch_client::store_error::StoreError;
use schemars::JsonSchema;
use serde::Serialize;
use thiserror::Error;

use crate::admin::error::AdminError;

/// A problem with its HTTP status.
#[derive(Debug, Error, Serialize, JsonSchema)]
#[serde(transparent)]
#[error("{problem}")]
pub struct ErrorResponse {
    problem: Problem,
    #[serde(skip)]
    status: ErrorStatusCode,
}

impl HttpResponseError for ErrorResponse {
    fn status_code(&self) -> ErrorStatusCode {
        self.status
    }
}

impl From<AdminError> for ErrorResponse {
    fn from(error: AdminError) -> Self {
        let code = error.code();
        let current = match &error {
            AdminError::Store(StoreError::Conflict { current, .. })
            | AdminError::Exists { current, .. } => Some(*current),
            _ => None,
        };
        let status = match code {
            ProblemCode::Conflict => ErrorStatusCode::CONFLICT,
            ProblemCode::StoreUnavailable => ErrorStatusCode::SERVICE_UNAVAILABLE,
            ProblemCode::NotFound => ErrorStatusCode::NOT_FOUND,
            ProblemCode::SwitchoverFailed => ErrorStatusCode::SERVICE_UNAVAILABLE,
            ProblemCode::Unreadable | ProblemCode::Internal => {
                ErrorStatusCode::INTERNAL_SERVER_ERROR
            }
            _ => ErrorStatusCode::UNPROCESSABLE_ENTITY,
        };
        Self {
            problem: Problem {
                code,
                message: error.to_string(),
                current,
            },
            status,
        }
    }
}

impl From<HttpError> for ErrorResponse {
    fn from(error: HttpError) -> Self {
        let code = if error.status_code.is_client_error() {
            ProblemCode::InvalidRequest
        } else {
            ProblemCode::Internal
        };
        Self {
            problem: Problem {
                code,
                message: error.external_message,
                current: None,
            },
            status: error.status_code,
        }
    }
}
