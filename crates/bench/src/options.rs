//! Command line shared by the binaries that take a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::settings;
use magnoliahatch_client::settings_error::SettingsError;
use serde::de::DeserializeOwned;

/// Parsed command line of a binary that takes a settings file.
#[derive(Debug)]
pub struct Options {
    pub settings: PathBuf,
    /// Only validates the settings file.
    pub check: bool,
}

impl Options {
    /// Parses the process's command line; ends the process on `--help` and on bad usage.
    pub fn parse(name: &'static str, about: &'static str) -> Self {
        Self::take(&mut Self::command(name, about).get_matches())
    }

    /// The shared command line, to which a binary may add its own arguments.
    pub fn command(name: &'static str, about: &'static str) -> Command {
        Command::new(name)
            .about(about)
            .version(clap::crate_version!())
            .after_help("Exit codes: 0 ok, 1 failure at run time, 2 bad usage or settings.")
            .arg(
                Arg::new("settings")
                    .help("Settings file: JSON with comments")
                    .required(true)
                    .value_parser(value_parser!(PathBuf)),
            )
            .arg(
                Arg::new("check")
                    .long("check")
                    .help("Validate the settings file and exit")
                    .action(ArgAction::SetTrue),
            )
    }

    /// Takes the shared arguments out of the matches.
    pub fn take(matches: &mut ArgMatches) -> Self {
        Self {
            settings: matches.remove_one("settings").unwrap_or_default(),
            check: matches.get_flag("check"),
        }
    }

    /// Loads the settings; the error is the exit code of a run that ends here, after `--check`
    /// or a refused file.
    pub fn load<T: DeserializeOwned>(&self) -> Result<T, ExitCode> {
        let loaded: Result<T, SettingsError> = settings::load(&self.settings);
        match loaded {
            Ok(_) if self.check => Err(ExitCode::from(exit_code::OK)),
            Ok(value) => Ok(value),
            Err(error) => {
                eprintln!("{error}");
                Err(ExitCode::from(exit_code::USAGE))
            }
        }
    }
}
