//! Executable of the entry daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::ready::Ready;
use magnoliahatch_client::settings;
use magnoliahatch_daemon::daemon;
use magnoliahatch_daemon::settings::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const EXIT_CODES: &str = "Exit codes: 0 ok, 1 failure at run time, 2 bad usage or settings.";

fn main() -> ExitCode {
    let options = command().get_matches();
    let path: &PathBuf = options.get_one("settings").expect("clap requires it");
    let settings: Settings = match settings::load(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(exit_code::USAGE);
        }
    };
    if options.get_flag("check") {
        return ExitCode::from(exit_code::OK);
    }
    logs::init(settings.log.format, &settings.log.filter);
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::from(exit_code::FAILURE);
        }
    };
    let code = runtime.block_on(run(settings));
    // Does not wait for sessions that are still open after the stop timeout.
    runtime.shutdown_background();
    ExitCode::from(code)
}

fn command() -> Command {
    Command::new("magnoliahatchd")
        .about("Entry daemon of the magnoliahatch database proxy")
        .version(clap::crate_version!())
        .after_help(EXIT_CODES)
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

async fn run(settings: Settings) -> u8 {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(error) => {
            eprintln!("cannot handle SIGTERM: {error}");
            return exit_code::FAILURE;
        }
    };
    let daemon = match daemon::spawn(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            return exit_code::FAILURE;
        }
    };
    let control = daemon.control().map(|address| ("control", address));
    let sockets = [("sql", daemon.sql()), ("admin", daemon.admin())];
    if let Err(error) = Ready::new(sockets.into_iter().chain(control)).print() {
        eprintln!("cannot print the ready line: {error}");
        return exit_code::FAILURE;
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    tracing::info!(event = 207, "stopping; waiting for open transactions");
    if daemon.stop().await {
        exit_code::OK
    } else {
        tracing::warn!(
            event = 208,
            "transactions were still open at the stop timeout"
        );
        exit_code::FAILURE
    }
}
