//! Runs the real programs under random faults.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use futures::StreamExt;
use futures::stream;
use magnoliahatch_bench::soak::case::Case;
use magnoliahatch_bench::soak::run;
use magnoliahatch_bench::soak::run::Outcome;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::logs::LogFormat;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[tokio::main]
async fn main() -> ExitCode {
    let number = |name: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).help(help);
        arg.value_parser(value_parser!(u64))
    };
    let command = Command::new("soak")
        .about("Runs the real programs under random faults and checks the guarantees")
        .version(clap::crate_version!())
        .arg(number("seed", "First seed; drawn and printed if absent"))
        .arg(number("count", "Number of runs; each has the next seed").default_value("1"))
        .arg(number("jobs", "Runs at a time; each takes a few processor cores").default_value("2"))
        .arg(number("faults-ms", "Time in which faults begin and end").default_value("15000"))
        .arg(number("hosts", "Hosts of each run; drawn if absent"))
        .arg(number(
            "databases",
            "Databases of each run; drawn if absent",
        ))
        .arg(
            Arg::new("keep")
                .long("keep")
                .value_parser(value_parser!(PathBuf))
                .default_value("soak-failures")
                .help("Folder for report, history and logs of runs with findings"),
        )
        .after_help("Exit codes: 0 no finding, 1 findings or failure at run time, 2 bad usage.");
    let matches = command.get_matches();
    logs::init(LogFormat::Human, "error");
    let mut stop = match signal(SignalKind::terminate()) {
        Ok(stop) => stop,
        Err(error) => {
            eprintln!("soak: cannot wait for SIGTERM: {error}");
            return ExitCode::from(exit_code::FAILURE);
        }
    };
    // Dropping the runs ends the processes that they started.
    let failed = tokio::select! {
        failed = run_all(&matches) => failed,
        _ = stop.recv() => return ExitCode::from(exit_code::FAILURE),
        _ = tokio::signal::ctrl_c() => return ExitCode::from(exit_code::FAILURE),
    };
    println!("{failed} runs with findings");
    ExitCode::from(if failed == 0 {
        exit_code::OK
    } else {
        exit_code::FAILURE
    })
}

/// Runs all cases and returns the number of those with findings.
async fn run_all(matches: &ArgMatches) -> usize {
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let size = |name: &str| number(name).and_then(|n| usize::try_from(n).ok());
    let first = number("seed").unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let keep = matches.get_one::<PathBuf>("keep").cloned();
    let keep = keep.unwrap_or_default();
    let cases = (0..number("count").unwrap_or(1)).map(|index| Case {
        seed: first.wrapping_add(index),
        faults_ms: number("faults-ms").unwrap_or_default(),
        hosts: size("hosts"),
        databases: size("databases"),
    });
    let runs = stream::iter(cases.map(|case| run_one(case, &keep)));
    let runs = runs.buffer_unordered(size("jobs").unwrap_or(1).max(1));
    runs.filter(|passed| std::future::ready(!passed))
        .count()
        .await
}

/// Runs one case, prints its result, and keeps its files if there are findings.
async fn run_one(case: Case, keep: &Path) -> bool {
    let begun = Instant::now();
    let folder = case.folder(keep);
    let Outcome { findings, report } = run::run(&case, &folder).await;
    let faults = report.as_ref().map_or(0, |report| report.faults.len());
    let seconds = begun.elapsed().as_secs();
    let (seed, found) = (case.seed, findings.len());
    println!("seed {seed}: {faults} faults, {found} findings, {seconds} s");
    for finding in &findings {
        println!("  seed {seed}: {finding}");
    }
    let kept = match &report {
        _ if findings.is_empty() => std::fs::remove_dir_all(&folder),
        Some(report) => std::fs::write(folder.join("report.txt"), report.to_string()),
        None => Ok(()),
    };
    if let Err(error) = kept {
        eprintln!("soak: {}: {error}", folder.display());
    }
    findings.is_empty()
}
