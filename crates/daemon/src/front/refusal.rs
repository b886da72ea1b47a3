//! Errors that the daemon reports to clients.

use magnoliahatch_core::classify::ClassifyError;
use magnoliahatch_core::outcome::Outcome;
use magnoliahatch_core::token::TokenError;
use thiserror::Error;

use crate::limits::LimitError;
use crate::pool::member_pool::AcquireError;
use crate::pool::open_error::OpenError;
use crate::wire::encode;
use crate::wire::frame::Frame;
use crate::wire::frame_error::FrameError;

/// Why the daemon refuses a request or session, or cannot tell the outcome of a request.
#[derive(Debug, Error)]
pub(crate) enum Refusal {
    #[error("the startup message is malformed: {0}")]
    Startup(&'static str),
    #[error("route \"{0}\" does not exist")]
    UnknownRoute(String),
    #[error("the key is not valid for organisation \"{0}\"")]
    WrongKey(String),
    #[error("organisation \"{0}\" has no contract")]
    NoContract(String),
    #[error("the key of this session was withdrawn, or its route changed")]
    Withdrawn,
    #[error("the daemon has no configuration yet")]
    NoConfiguration,
    #[error("this host is leaving service")]
    Draining,
    #[error("the statement was refused: {0}")]
    Limited(#[from] LimitError),
    #[error("the database has no primary")]
    NoPrimary,
    #[error("no member could be reached: {0}")]
    Unreachable(AcquireError),
    #[error("{statement} is not supported")]
    Unsupported {
        statement: &'static str,
        alternative: &'static str,
    },
    #[error(transparent)]
    Syntax(#[from] ClassifyError),
    #[error("prepared statement \"{0}\" does not exist")]
    UnknownStatement(String),
    #[error("the session keeps too many prepared statements")]
    TooManyStatements,
    #[error("the transaction was given up; commands are ignored until it ends")]
    Aborted,
    #[error("the transaction was idle for too long and was rolled back")]
    IdleTransaction,
    #[error("the transaction's connection was lost; it was rolled back")]
    LostTransaction,
    #[error("the connection to the endpoint was lost: {cause}")]
    Lost { cause: String, outcome: Outcome },
    #[error("the answer was not confirmed by a second member in time")]
    Unconfirmed,
    #[error("invalid value for {name}: {reason}")]
    Variable { name: String, reason: &'static str },
    #[error("the token was refused: {0}")]
    Token(#[from] TokenError),
    #[error("the token belongs to another organisation or database")]
    ForeignToken,
    #[error("protocol error: {0}")]
    Protocol(#[from] FrameError),
    #[error("request \"{0}\" already ran; its answer was not kept")]
    AlreadyRan(String),
    #[error("the request could not be recorded: {0}")]
    NotRecorded(OpenError),
    #[error("message type {0:?} is not expected here")]
    Unexpected(char),
}

impl Refusal {
    /// SQLSTATE of the error.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::Startup(_) | Self::Unexpected(_) => "08P01",
            Self::Protocol(FrameError::TooLarge { .. }) => "54000",
            Self::Protocol(_) => "08P01",
            Self::UnknownRoute(_) => "3D000",
            Self::WrongKey(_) | Self::Withdrawn => "28P01",
            Self::NoContract(_) => "28000",
            Self::NoConfiguration | Self::Draining | Self::NoPrimary => "57P03",
            Self::Unreachable(_) => "57P03",
            Self::AlreadyRan(_) => "23505",
            Self::NotRecorded(_) => "40001",
            Self::Limited(LimitError::NoContract(_)) => "28000",
            Self::Limited(LimitError::Rate { .. } | LimitError::Queue { .. }) => "53300",
            Self::Limited(_) => "57P03",
            Self::Unsupported { .. } => "0A000",
            Self::Syntax(_) => "42601",
            Self::UnknownStatement(_) => "26000",
            Self::TooManyStatements => "54000",
            Self::Aborted => "25P02",
            Self::IdleTransaction => "25P03",
            Self::LostTransaction => "40001",
            Self::Lost { outcome, .. } if *outcome == Outcome::NotRun => "57P03",
            Self::Lost { .. } | Self::Unconfirmed => "08007",
            Self::Variable { .. } | Self::Token(_) | Self::ForeignToken => "22023",
        }
    }

    /// Whether the request ran.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::Lost { outcome, .. } => *outcome,
            Self::Unconfirmed => Outcome::Unknown,
            Self::AlreadyRan(_) => Outcome::Ran,
            _ => Outcome::NotRun,
        }
    }

    /// Advice for the client; empty if there is none.
    fn hint(&self) -> String {
        match self {
            Self::Unsupported { alternative, .. } => alternative.to_string(),
            Self::WrongKey(_) => "give the organisation's key as the password".to_owned(),
            Self::Withdrawn => "connect again with a current key".to_owned(),
            Self::Lost { outcome, .. } if *outcome == Outcome::Unknown => UNKNOWN_HINT.to_owned(),
            Self::Unconfirmed => UNKNOWN_HINT.to_owned(),
            Self::Draining => "connect again; another host answers".to_owned(),
            Self::LostTransaction => "repeat the transaction".to_owned(),
            _ => String::new(),
        }
    }

    /// Encodes an ErrorResponse of severity ERROR, or FATAL if it ends the session.
    pub(crate) fn frame(&self, fatal: bool) -> Frame {
        let severity = if fatal { "FATAL" } else { "ERROR" };
        let message = self.to_string();
        encode::error_response(
            severity,
            self.code(),
            &message,
            self.outcome(),
            &self.hint(),
        )
    }
}

impl From<AcquireError> for Refusal {
    fn from(error: AcquireError) -> Self {
        match error {
            AcquireError::Limit(limit) => Self::Limited(limit),
            open => Self::Unreachable(open),
        }
    }
}

/// Hint for requests whose outcome is unknown.
const UNKNOWN_HINT: &str =
    "check whether the request ran, or repeat it if it had a magnoliahatch.request_id";
