//! Stand-in for the platform's object store.

use std::process::ExitCode;

use magnoliahatch_bench::options::Options;
use magnoliahatch_bench::store::server::StoreServer;
use magnoliahatch_bench::store::settings::StoreSettings;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::ready::Ready;
use magnoliahatch_client::settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn main() -> ExitCode {
    let options = Options::parse(
        "standin-store",
        "Stand-in for the platform's object store, with simulated faults",
    );
    let settings: StoreSettings = match settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("standin-store: {error}");
            return ExitCode::from(exit_code::USAGE);
        }
    };
    if options.check {
        return ExitCode::from(exit_code::OK);
    }
    logs::init(settings.log_format, &settings.log_filter);
    match run(&settings) {
        Ok(()) => ExitCode::from(exit_code::OK),
        Err(error) => {
            eprintln!("standin-store: {error}");
            ExitCode::from(exit_code::FAILURE)
        }
    }
}

#[tokio::main]
async fn run(settings: &StoreSettings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let server = StoreServer::bind(settings)?;
    Ready::new([("store", server.addr())]).print()?;
    terminate.recv().await;
    server.close().await;
    Ok(())
}
