//! Command line shared by the binaries that take a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use magnoliahatch_client::exit;
use magnoliahatch_client::settings;
use magnoliahatch_client::settings_error::SettingsError;
use serde::de::DeserializeOwned;

/// Options of a binary that takes a settings file.
#[derive(Debug)]
pub struct Options {
    pub settings: PathBuf,
    /// Only validate the settings file.
    pub check: bool,
}

impl Options {
    /// Reads the process's command line; exits with code 2 when it is not valid.
    pub fn parse(command: Command) -> Self {
        Self::from_matches(&Self::command(command).get_matches())
    }

    /// Adds the shared arguments to a command.
    pub fn command(command: Command) -> Command {
        command
            .arg(
                Arg::new("settings")
                    .long("settings")
                    .value_name("FILE")
                    .required(true)
                    .value_parser(value_parser!(PathBuf))
                    .help("Settings file, JSON with comments"),
            )
            .arg(
                Arg::new("check")
                    .long("check")
                    .action(ArgAction::SetTrue)
                    .help("Validate the settings file and exit"),
            )
            .after_help("Exit codes: 0 ok, 1 failure at run time, 2 bad usage or settings")
    }

    /// Reads the shared arguments.
    pub fn from_matches(matches: &clap::ArgMatches) -> Self {
        Self {
            settings: matches
                .get_one::<PathBuf>("settings")
                .cloned()
                .unwrap_or_default(),
            check: matches.get_flag("check"),
        }
    }

    /// Loads the settings; the error is the exit code of a run that ends here, after `--check`
    /// or a refused file.
    pub fn load<T: DeserializeOwned>(&self) -> Result<T, ExitCode> {
        let loaded: Result<T, SettingsError> = settings::load(&self.settings);
        match loaded {
            Ok(_) if self.check => {
                println!("{}: ok", self.settings.display());
                Err(ExitCode::from(exit::OK))
            }
            Ok(value) => Ok(value),
            Err(error) => {
                eprintln!("{error}");
                Err(ExitCode::from(exit::USAGE))
            }
        }
    }
}
