//! Measures what daemons spend on control and on statements, at several sizes of a fleet.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use magnoliahatch_bench::capacity::idle::WindowSettings;
use magnoliahatch_bench::capacity::run;
use magnoliahatch_bench::capacity::run::Axis;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::logs::LogFormat;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn command() -> Command {
    Command::new("capacity")
        .version(clap::crate_version!())
        .about("Measures what daemons spend on control and on statements, at several sizes")
        .after_help("Exit codes: 0 ok, 1 failure at run time, 2 bad usage.")
        .arg(
            Arg::new("axis")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(Axis))
                .help("What to vary or measure"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("Seed of the order of sizes and of the statements"),
        )
        .arg(
            Arg::new("repeats")
                .long("repeats")
                .default_value("3")
                .value_parser(value_parser!(u32).range(1..))
                .help("Windows of each kind; medians are reported"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("5")
                .value_parser(value_parser!(u64).range(1..))
                .help("Length of a window"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the report to this file as well"),
        )
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut matches = command().get_matches();
    let axes: Vec<Axis> = matches.remove_many("axis").into_iter().flatten().collect();
    let seed = matches.remove_one::<u64>("seed");
    let seed = seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let seconds = matches.remove_one("seconds").unwrap_or_default();
    let windows = WindowSettings {
        length: Duration::from_secs(seconds),
        repeats: matches.remove_one("repeats").unwrap_or_default(),
    };
    let json = matches.remove_one::<PathBuf>("json");
    logs::init(LogFormat::Human, "warn");
    let Ok(mut stop) = signal(SignalKind::terminate()) else {
        eprintln!("capacity: cannot wait for SIGTERM");
        return ExitCode::from(exit_code::FAILURE);
    };
    let result = tokio::select! {
        result = run::run(&axes, windows, seed, json) => result,
        // Dropping the run ends the processes that it started.
        _ = stop.recv() => return ExitCode::from(exit_code::FAILURE),
        _ = tokio::signal::ctrl_c() => return ExitCode::from(exit_code::FAILURE),
    };
    match result {
        Ok(report) => {
            println!("{report}");
            ExitCode::from(exit_code::OK)
        }
        Err(error) => {
            eprintln!("capacity: {error}");
            ExitCode::from(exit_code::FAILURE)
        }
    }
}
