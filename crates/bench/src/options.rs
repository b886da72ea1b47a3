//! Command line of the stand-ins: a settings file and `--check`.

use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;

/// Parsed command line of a stand-in.
#[derive(Debug)]
pub struct Options {
    pub settings: PathBuf,
    /// Only validates the settings file.
    pub check: bool,
}

impl Options {
    /// Parses the process's command line; ends the process on `--help` and on bad usage.
    pub fn parse(name: &'static str, about: &'static str) -> Self {
        let mut matches = Command::new(name)
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
            .get_matches();
        Self {
            settings: matches.remove_one("settings").unwrap_or_default(),
            check: matches.get_flag("check"),
        }
    }
}
