//! Fault-injecting proxy for TCP and UDP links.

use std::process::ExitCode;

use magnoliahatch_bench::fault::api;
use magnoliahatch_bench::fault::error::FaultError;
use magnoliahatch_bench::fault::proxy::FaultProxy;
use magnoliahatch_bench::fault::settings::FaultSettings;
use magnoliahatch_bench::options::Options;
use magnoliahatch_client::exit_code;
use magnoliahatch_client::logs;
use magnoliahatch_client::ready::Ready;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[tokio::main]
async fn main() -> ExitCode {
    let options = Options::parse(
        "fault-proxy",
        "Forwards TCP and UDP links and injects faults into them",
    );
    let settings: FaultSettings = match options.load() {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    logs::init(settings.log_format, &settings.log_filter);
    match run(&settings).await {
        Ok(()) => ExitCode::from(exit_code::OK),
        Err(error) => {
            eprintln!("fault-proxy: {error}");
            ExitCode::from(exit_code::FAILURE)
        }
    }
}

async fn run(settings: &FaultSettings) -> Result<(), FaultError> {
    let mut stop = signal(SignalKind::terminate())?;
    let proxy = FaultProxy::open(&settings.links).await?;
    let server = api::serve(settings.admin, proxy.clone())?;
    let mut ready = Ready::new([("admin", server.local_addr())]);
    let links = proxy.map_links(|link| link.report()).await;
    ready
        .listen
        .extend(links.into_iter().map(|link| (link.name, link.listen)));
    ready.print()?;
    stop.recv().await;
    server.close().await.map_err(FaultError::Api)
}
