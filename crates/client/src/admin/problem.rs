//! Error responses of the administration API.

use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::exit_code;

/// Kind of failure, for programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemCode {
    /// The object is at another version than the change names.
    Conflict,
    /// The store cannot be reached; whether a change took effect is in the message.
    StoreUnavailable,
    NotFound,
    /// The request does not have the form that the API document describes.
    InvalidRequest,
    InvalidName,
    InvalidField,
    ContractNotMet,
    OpenWithoutOrganisation,
    UnknownOrganisation,
    UnknownDatabase,
    UnknownMember,
    UnknownSubject,
    DuplicateMember,
    NothingLeft,
    SwitchoverFailed,
    /// An object of the store was written by other software or another version.
    Unreadable,
    Internal,
}

/// Body of every error answer.
#[derive(Debug, Clone, Error, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[error("{message}")]
pub struct Problem {
    pub code: ProblemCode,
    /// What is wrong and what to change.
    pub message: String,
    /// Current version after a conflict; 0 means that the object does not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<Revision>,
}

impl Problem {
    /// Exit code of the command line for this failure.
    pub fn exit_code(&self) -> u8 {
        match self.code {
            ProblemCode::Conflict => exit_code::CONFLICT,
            ProblemCode::StoreUnavailable => exit_code::STORE_UNAVAILABLE,
            ProblemCode::InvalidRequest => exit_code::USAGE,
            ProblemCode::SwitchoverFailed | ProblemCode::Unreadable | ProblemCode::Internal => {
                exit_code::FAILURE
            }
            _ => exit_code::REFUSED,
        }
    }
}
