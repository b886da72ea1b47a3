//! Entry point of the operator's command line.

use std::process::ExitCode;

use magnoliahatch_client::exit_code;
use magnoliahatch_ctl::options::Options;
use magnoliahatch_ctl::run;

fn main() -> ExitCode {
    let result = Options::parse().and_then(|options| match options {
        Some(options) => run::run(&options),
        None => Ok(()),
    });
    match result {
        Ok(()) => ExitCode::from(exit_code::OK),
        Err(error) => {
            eprintln!("magnoliahatch: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
