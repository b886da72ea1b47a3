//! Runs a command and waits for its effect.

use std::io::stdout;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_core::ids::Revision;

use crate::commands;
use crate::error::CtlError;
use crate::options::Options;

/// Interval between two status requests; a change usually takes effect within milliseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a command, prints its report and, with `--wait`, waits for the change to take effect.
#[tokio::main(flavor = "current_thread")]
pub async fn run(options: &Options) -> Result<(), CtlError> {
    let client = AdminClient::open(options.addresses.clone())?;
    let report = commands::execute(&client, &options.request).await?;
    // Printed before waiting, so that a failed wait does not lose the key that `key create` shows
    // only once.
    report.print(options.output, &mut stdout().lock())?;
    match (report.accepted, options.wait) {
        (Some(version), Some(limit)) => wait_until_in_effect(&client, version, limit).await,
        _ => Ok(()),
    }
}

async fn wait_until_in_effect(
    client: &AdminClient,
    version: Revision,
    limit: Duration,
) -> Result<(), CtlError> {
    let start = Instant::now();
    loop {
        // Errors are ignored until the limit, since a daemon may be restarting.
        let status = client.get::<FleetStatus>("/status").await;
        if status
            .as_ref()
            .is_ok_and(|status| status.is_in_effect(version))
        {
            return Ok(());
        }
        if start.elapsed() >= limit {
            let status = status?;
            let mut outdated: Vec<&str> =
                status.outdated_hosts(version).map(String::as_str).collect();
            if outdated.is_empty() {
                outdated.push("the daemon that responded");
            }
            return Err(CtlError::NotInEffect {
                version,
                limit,
                outdated: outdated.join(", "),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
