//! Runs a parsed command.

use std::io::stdout;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_core::ids::Revision;

use crate::commands;
use crate::error::CtlError;
use crate::options::Options;

/// Time between two looks at the fleet; a change is usually in force within milliseconds.
const POLL: Duration = Duration::from_millis(100);

/// Runs a command and prints its report.
#[tokio::main(flavor = "current_thread")]
pub async fn run(options: &Options) -> Result<(), CtlError> {
    let client = AdminClient::open(options.addresses.clone())?;
    let report = commands::execute(&client, &options.request).await?;
    // Printed before the wait: the output of `key create` is shown only once.
    report.print(options.output, &mut stdout().lock())?;
    match (report.accepted, options.wait) {
        (Some(version), Some(limit)) => wait(&client, version, limit).await,
        _ => Ok(()),
    }
}

async fn wait(client: &AdminClient, version: Revision, limit: Duration) -> Result<(), CtlError> {
    let start = Instant::now();
    loop {
        // A daemon that restarts meanwhile is no reason to give up.
        let status = client.get::<FleetStatus>("/status").await;
        if status
            .as_ref()
            .is_ok_and(|status| status.is_in_effect(version))
        {
            return Ok(());
        }
        if start.elapsed() >= limit {
            let status = status?;
            let mut behind: Vec<&str> =
                status.outdated_hosts(version).map(String::as_str).collect();
            if behind.is_empty() {
                behind.push("the answering daemon");
            }
            return Err(CtlError::NotInForce {
                version,
                limit,
                behind: behind.join(", "),
            });
        }
        tokio::time::sleep(POLL).await;
    }
}
