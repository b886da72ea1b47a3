//! Errors of commands.

use std::path::PathBuf;
use std::time::Duration;

use magnoliahatch_client::admin::client_error::AdminClientError;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::settings_error::SettingsError;
use magnoliahatch_core::ids::Revision;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("--check requires --settings FILE")]
    CheckWithoutSettings,
    #[error("no command given; see --help for the list of commands")]
    MissingCommand,
    #[error(transparent)]
    Admin(#[from] AdminClientError),
    #[error(
        "version {version} was accepted but has not taken effect after {} s on {outdated}; \
         `magnoliahatch status` shows the progress",
        limit.as_secs()
    )]
    NotInEffect {
        version: Revision,
        limit: Duration,
        outdated: String,
    },
    #[error("{}: cannot read the log file: {source}", path.display())]
    Log {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
    #[error("cannot encode the output: {0}")]
    Encode(#[from] serde_json::Error),
}

impl CtlError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) | Self::CheckWithoutSettings | Self::MissingCommand => {
                exit_code::USAGE
            }
            Self::Admin(error) => error.exit_code(),
            Self::NotInEffect { .. } | Self::Log { .. } | Self::Output(_) | Self::Encode(_) => {
                exit_code::FAILURE
            }
        }
    }
}
