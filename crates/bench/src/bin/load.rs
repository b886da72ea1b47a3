//! Load and experiment tool.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::value_parser;
use magnoliahatch_bench::load::error::LoadError;
use magnoliahatch_bench::load::experiment;
use magnoliahatch_bench::load::scenario::Scenario;
use magnoliahatch_bench::options::Options;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::logs::LogFormat;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[tokio::main]
async fn main() -> ExitCode {
    let command = Options::command("load", "Runs a scenario and reports its measures")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("Seed of arrivals and sessions, over that of the scenario"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_parser(value_parser!(PathBuf))
                .help("Writes all reports to this file"),
        )
        .arg(
            Arg::new("history")
                .long("history")
                .value_parser(value_parser!(PathBuf))
                .help("Writes the history to this file; several runs add variant and repeat"),
        )
        .after_help(
            "Exit codes: 0 ok, 1 failure at run time or a violated guarantee, \
             2 bad usage or settings.",
        );
    let mut matches = command.get_matches();
    let scenario: Scenario = match Options::take(&mut matches).load() {
        Ok(scenario) => scenario,
        Err(code) => return code,
    };
    if let Err(error) = scenario.validate() {
        eprintln!("load: {error}");
        return ExitCode::from(exit_code::USAGE);
    }
    logs::init(LogFormat::Human, "warn");
    let seed = matches.remove_one::<u64>("seed").or(scenario.seed);
    let seed = seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    println!("seed {seed}");
    let run = run(
        &scenario,
        seed,
        matches.remove_one("json"),
        matches.remove_one("history"),
    );
    match run.await {
        Ok(true) => ExitCode::from(exit_code::OK),
        Ok(false) => ExitCode::from(exit_code::FAILURE),
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::from(exit_code::FAILURE)
        }
    }
}

/// Returns whether all guarantees held.
async fn run(
    scenario: &Scenario,
    seed: u64,
    json: Option<PathBuf>,
    history: Option<PathBuf>,
) -> Result<bool, LoadError> {
    let mut stop = signal(SignalKind::terminate())?;
    let runs = experiment::run(scenario, seed, history, |report| println!("\n{report}"));
    let experiment = tokio::select! {
        experiment = runs => experiment?,
        // Dropping the runs ends the processes that they started.
        _ = stop.recv() => return Err(LoadError::Stopped),
        _ = tokio::signal::ctrl_c() => return Err(LoadError::Stopped),
    };
    if experiment.reports.len() > 1 {
        println!("\n{}", experiment.comparison);
    }
    if let Some(path) = json {
        std::fs::write(path, serde_json::to_vec_pretty(&experiment)?)?;
    }
    Ok(experiment
        .reports
        .iter()
        .all(|report| report.verdict.is_valid()))
}
