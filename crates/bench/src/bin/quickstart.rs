//! Runs the whole path as separate processes for a few seconds and prints a report.

use std::path::Path;
use std::process::ExitCode;

use clap::Command;
use magnoliahatch_bench::load::error::LoadError;
use magnoliahatch_bench::load::experiment;
use magnoliahatch_bench::load::scenario::Scenario;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::logs::LogFormat;
use magnoliahatch_client::settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const SCENARIO: &str = include_str!("../../../../scenarios/quickstart.json");

#[tokio::main]
async fn main() -> ExitCode {
    Command::new("quickstart")
        .about("Starts a small fleet, kills a primary under load and checks the history")
        .version(clap::crate_version!())
        .after_help("Exit codes: 0 all guarantees held, 1 failure or a violated guarantee.")
        .get_matches();
    logs::init(LogFormat::Human, "warn");
    match run().await {
        Ok(true) => {
            println!("\nverdict: all guarantees held and writes continued after the failover");
            ExitCode::from(exit_code::OK)
        }
        Ok(false) => {
            println!("\nverdict: FAILED, see the report");
            ExitCode::from(exit_code::FAILURE)
        }
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::from(exit_code::FAILURE)
        }
    }
}

/// Returns whether all guarantees held and the primary was replaced.
async fn run() -> Result<bool, LoadError> {
    let mut stop = signal(SignalKind::terminate())?;
    let name = Path::new("scenarios/quickstart.json");
    let scenario: Scenario =
        settings::parse(name, SCENARIO).map_err(|e| LoadError::Scenario(e.to_string()))?;
    scenario.validate()?;
    let seed = u64::from(rand::random::<u32>());
    println!(
        "{} hosts, {} members, {} organisations, {:.0} s of load, seed {seed}",
        scenario.fleet.hosts.len(),
        scenario
            .fleet
            .databases
            .iter()
            .map(|d| d.members.len())
            .sum::<usize>(),
        scenario.organisations.len(),
        scenario.length().as_secs_f64()
    );
    let runs = experiment::run(&scenario, seed, None, |report| println!("\n{report}"));
    let experiment = tokio::select! {
        experiment = runs => experiment?,
        _ = stop.recv() => return Err(LoadError::Stopped),
        _ = tokio::signal::ctrl_c() => return Err(LoadError::Stopped),
    };
    Ok(experiment.reports.iter().all(|report| {
        let replaced = report
            .failovers
            .iter()
            .all(|failover| failover.gap_ms.is_some());
        let injected = report.faults.iter().all(|fault| fault.error.is_none());
        report.verdict.is_valid() && replaced && injected
    }))
}
