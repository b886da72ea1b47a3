//! Starts the fleet of a scenario and keeps it running for trying commands.

use std::process::ExitCode;

use magnoliahatch_bench::harness::binaries;
use magnoliahatch_bench::harness::error::HarnessError;
use magnoliahatch_bench::harness::fleet::Binaries;
use magnoliahatch_bench::harness::fleet::Fleet;
use magnoliahatch_bench::load::scenario::Scenario;
use magnoliahatch_bench::options::Options;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::logs::LogFormat;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[tokio::main]
async fn main() -> ExitCode {
    let about = "Starts the fleet of a scenario without load, prints its addresses and keys, \
                 and ends it on SIGINT or SIGTERM";
    let command = Options::command("playground", about)
        .after_help("Exit codes: 0 ok, 1 failure at run time, 2 bad usage or settings.");
    let mut matches = command.get_matches();
    let scenario: Scenario = match Options::take(&mut matches).load() {
        Ok(scenario) => scenario,
        Err(code) => return code,
    };
    if let Err(error) = scenario.validate() {
        eprintln!("playground: {error}");
        return ExitCode::from(exit_code::USAGE);
    }
    logs::init(LogFormat::Human, "warn");
    match run(scenario).await {
        Ok(()) => ExitCode::from(exit_code::OK),
        Err(error) => {
            eprintln!("playground: {error}");
            ExitCode::from(exit_code::FAILURE)
        }
    }
}

async fn run(scenario: Scenario) -> Result<(), HarnessError> {
    let mut stop = signal(SignalKind::terminate())?;
    let binaries = Binaries {
        folder: binaries::folder()?,
        daemon: None,
    };
    let contracts = scenario.contracts();
    let mut fleet = Fleet::start(scenario.fleet, &contracts, binaries).await?;
    print(
        &mut fleet,
        &contracts
            .iter()
            .map(|c| c.name.as_str())
            .collect::<Vec<_>>(),
    )?;
    tokio::select! {
        _ = stop.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    Ok(())
}

fn print(fleet: &mut Fleet, organisations: &[&str]) -> Result<(), HarnessError> {
    let plan = fleet.plan().clone();
    for host in &plan.hosts {
        let sql = fleet.entry(&host.name)?;
        let process = fleet.process(&host.name)?;
        let (id, admin) = (process.id(), process.listen("admin")?);
        println!(
            "host {} (process {id}): callers {sql}, administration {admin}",
            host.name
        );
    }
    for database in &plan.databases {
        for member in &database.members {
            let id = fleet.process(&member.name)?.id();
            println!("member {} of {} (process {id})", member.name, database.name);
        }
    }
    println!("store {}", fleet.process("standin-store")?.listen("store")?);
    for name in organisations {
        println!("organisation {name}: key {}", fleet.key(name)?);
    }
    println!("ready; press Ctrl-C to end");
    Ok(())
}
