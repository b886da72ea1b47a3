//! Injects the faults of a scenario.

use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_client::objects::kind;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::fault::api::LinkChange;
use crate::fault::mode::LinkMode;
use crate::harness::error::HarnessError;
use crate::harness::fleet::Fleet;
use crate::harness::links;
use crate::harness::objects;
use crate::load::fault_plan::FaultAction;
use crate::load::fault_plan::FaultPlan;
use crate::load::fault_plan::Injected;

/// Limit of a graceful shutdown: the daemon's own limit for open transactions and some more.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// Interval at which the end of a process is checked.
const POLL: Duration = Duration::from_millis(20);

/// Injects all faults, each at its time, and returns what was done.
pub async fn inject(
    fleet: Arc<Mutex<Fleet>>,
    faults: Vec<FaultPlan>,
    start: Instant,
) -> Vec<Injected> {
    let tasks = faults.into_iter().map(|fault| {
        let fleet = Arc::clone(&fleet);
        async move {
            sleep_until(start + Duration::from_millis(fault.at_ms)).await;
            let at = start.elapsed();
            let result = act(&fleet, &fault.action).await;
            tracing::info!(event = 510, action = ?fault.action, ?result, "fault injected");
            let (process, error) = match result {
                Ok(process) => (process, None),
                Err(error) => (None, Some(error.to_string())),
            };
            Injected {
                at,
                action: fault.action,
                process,
                error,
            }
        }
    });
    futures::future::join_all(tasks).await
}

async fn act(fleet: &Mutex<Fleet>, action: &FaultAction) -> Result<Option<String>, HarnessError> {
    match action {
        FaultAction::KillPrimary { database } => {
            let mut fleet = fleet.lock().await;
            let primary = fleet.primary(database).await?;
            fleet.process(&primary)?.kill()?;
            Ok(Some(primary))
        }
        FaultAction::PausePrimary { database, for_ms } => {
            let primary = fleet.lock().await.primary(database).await?;
            pause(fleet, &primary, *for_ms).await?;
            Ok(Some(primary))
        }
        FaultAction::CutPrimary { database, for_ms } => {
            let primary = fleet.lock().await.primary(database).await?;
            cut(fleet, &primary, LinkMode::Cut).await?;
            sleep(Duration::from_millis(*for_ms)).await;
            cut(fleet, &primary, LinkMode::Pass).await?;
            Ok(Some(primary))
        }
        FaultAction::Kill { process } => {
            fleet.lock().await.process(process)?.kill()?;
            Ok(Some(process.clone()))
        }
        FaultAction::Restart { process } => {
            fleet.lock().await.restart(process).await?;
            Ok(Some(process.clone()))
        }
        FaultAction::Stop { process } => {
            fleet.lock().await.process(process)?.terminate()?;
            let deadline = Instant::now() + STOP_LIMIT;
            while fleet.lock().await.process(process)?.ended()?.is_none() {
                if Instant::now() > deadline {
                    return Err(HarnessError::Condition(format!("{process} stopped")));
                }
                sleep(POLL).await;
            }
            Ok(Some(process.clone()))
        }
        FaultAction::Pause { process, for_ms } => {
            pause(fleet, process, *for_ms).await?;
            Ok(Some(process.clone()))
        }
        FaultAction::Link { link, change } => {
            fleet.lock().await.faults.change(link, change).await?;
            Ok(None)
        }
        FaultAction::Store { fault } => {
            fleet.lock().await.set_store_fault(fault).await?;
            Ok(None)
        }
        FaultAction::Placement { subject, state } => {
            let store = fleet.lock().await.store.clone();
            objects::put(&store, kind::PLACEMENT, subject, state).await?;
            Ok(None)
        }
    }
}

async fn pause(fleet: &Mutex<Fleet>, process: &str, for_ms: u64) -> Result<(), HarnessError> {
    fleet.lock().await.process(process)?.pause()?;
    sleep(Duration::from_millis(for_ms)).await;
    fleet.lock().await.process(process)?.resume()
}

/// Cuts the links to a member. Its own connections to others are not affected, but a primary
/// opens none.
async fn cut(fleet: &Mutex<Fleet>, member: &str, mode: LinkMode) -> Result<(), HarnessError> {
    let fleet = fleet.lock().await;
    let change = LinkChange {
        mode: Some(mode),
        ..LinkChange::default()
    };
    fleet.faults.change(&links::member(member), &change).await?;
    fleet.faults.change(&links::peer(member), &change).await?;
    Ok(())
}
