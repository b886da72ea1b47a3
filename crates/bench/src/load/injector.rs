//! Injects the faults of a scenario.

use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::client_error::AdminClientError;
use magnoliahatch_client::admin::switchover_request::SwitchoverRequest;
use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_client::objects::kind;
use tokio::sync::Mutex;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::fault::api::LinkChange;
use crate::fault::mode::LinkMode;
use crate::harness::error::HarnessError;
use crate::harness::fleet::Fleet;
use crate::harness::links;
use crate::harness::members;
use crate::harness::objects;
use crate::load::fault_plan::FaultAction;
use crate::load::fault_plan::FaultPlan;
use crate::load::fault_plan::InjectedFault;
use crate::member::Statement;

/// Limit of a graceful shutdown: the daemon's own limit for open transactions and some more.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// User of the connections that carry callers' statements.
const DATA_USER: &str = "proxy";
/// Limit of a drain under load; the sessions have short transactions.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);
/// Interval at which the end of a process is checked.
const POLL: Duration = Duration::from_millis(20);

/// What a fault hit.
#[derive(Debug, Default)]
struct Hit {
    process: Option<String>,
    statements: Option<usize>,
}

impl Hit {
    fn of(process: &str) -> Self {
        Self {
            process: Some(process.to_owned()),
            statements: None,
        }
    }
}

/// Injects all faults, each at its time, and returns what was done.
pub async fn inject(
    fleet: Arc<Mutex<Fleet>>,
    faults: Vec<FaultPlan>,
    start: Instant,
) -> Vec<InjectedFault> {
    let tasks = faults.into_iter().map(|fault| {
        let fleet = Arc::clone(&fleet);
        async move {
            sleep_until(start + Duration::from_millis(fault.at_ms)).await;
            let at = start.elapsed();
            let result = act(&fleet, &fault.action).await;
            tracing::info!(event = 510, action = ?fault.action, ?result, "fault injected");
            let (hit, error) = match result {
                Ok(hit) => (hit, None),
                Err(error) => (Hit::default(), Some(error.to_string())),
            };
            InjectedFault {
                at,
                ended: start.elapsed(),
                action: fault.action,
                process: hit.process,
                statements: hit.statements,
                error,
            }
        }
    });
    futures::future::join_all(tasks).await
}

async fn act(fleet: &Mutex<Fleet>, action: &FaultAction) -> Result<Hit, HarnessError> {
    match action {
        FaultAction::KillPrimary { database } => {
            let mut fleet = fleet.lock().await;
            let primary = fleet.primary(database).await?;
            fleet.process(&primary)?.kill()?;
            Ok(Hit::of(&primary))
        }
        FaultAction::PausePrimary { database, for_ms } => {
            let primary = fleet.lock().await.primary(database).await?;
            pause(fleet, &primary, *for_ms).await?;
            Ok(Hit::of(&primary))
        }
        FaultAction::CutPrimary { database, for_ms } => {
            let primary = fleet.lock().await.primary(database).await?;
            cut(fleet, &primary, LinkMode::Cut).await?;
            sleep(Duration::from_millis(*for_ms)).await;
            cut(fleet, &primary, LinkMode::Pass).await?;
            Ok(Hit::of(&primary))
        }
        FaultAction::Kill { process } => {
            fleet.lock().await.process(process)?.kill()?;
            Ok(Hit::of(process))
        }
        FaultAction::Restart { process } => {
            let id = fleet.lock().await.process(process)?.id();
            await_end(fleet, process, id).await?;
            fleet.lock().await.restart(process).await?;
            Ok(Hit::of(process))
        }
        FaultAction::Stop { process } => {
            let id = {
                let mut fleet = fleet.lock().await;
                let stopping = fleet.process(process)?;
                stopping.terminate()?;
                stopping.id()
            };
            await_end(fleet, process, id).await?;
            Ok(Hit::of(process))
        }
        FaultAction::Pause { process, for_ms } => {
            pause(fleet, process, *for_ms).await?;
            Ok(Hit::of(process))
        }
        FaultAction::Link { link, change } => {
            fleet.lock().await.faults.change(link, change).await?;
            Ok(Hit::default())
        }
        FaultAction::Store { fault } => {
            fleet.lock().await.set_store_fault(fault).await?;
            Ok(Hit::default())
        }
        FaultAction::Switchover { database } => {
            let (admin, old) = {
                let mut fleet = fleet.lock().await;
                let host = fleet.plan().hosts.first().map(|host| host.name.clone());
                let admin = fleet.process(&host.unwrap_or_default())?.listen("admin")?;
                (admin, fleet.primary(database).await?)
            };
            let failed = |error| HarnessError::Condition(format!("{database} switched: {error}"));
            let client = AdminClient::open(vec![admin.to_string()]).map_err(failed)?;
            let path = format!("/databases/{database}/switchover");
            let request = SwitchoverRequest::default();
            let done = client.post::<SwitchoverResult>(&path, Some(&request)).await;
            done.map_err(failed)?;
            Ok(Hit::of(&old))
        }
        FaultAction::AwaitDrained { subject } => {
            let admin = {
                let mut fleet = fleet.lock().await;
                let host = fleet.plan().hosts.last().map(|host| host.name.clone());
                fleet.process(&host.unwrap_or_default())?.listen("admin")?
            };
            let mut last = String::new();
            let drained = async {
                let client = AdminClient::open(vec![admin.to_string()])?;
                loop {
                    let status: FleetStatus = client.get("/status").await?;
                    let leaving = status.leaving.get(subject);
                    if leaving.is_some_and(|leaving| leaving.done) {
                        return Ok::<_, AdminClientError>(());
                    }
                    last = format!("{leaving:?}");
                    sleep(POLL).await;
                }
            };
            let done = timeout(DRAIN_LIMIT, drained).await;
            match done {
                Ok(Ok(())) => Ok(Hit::default()),
                Ok(Err(error)) => Err(HarnessError::Condition(error.to_string())),
                Err(_) => Err(HarnessError::Condition(format!(
                    "{subject} drained: {last}"
                ))),
            }
        }
        FaultAction::CountWork { member, for_ms } => {
            let address = fleet.lock().await.member(member)?;
            let silent = || HarnessError::Condition(format!("{member} answers"));
            members::record(address).await.ok_or_else(silent)?;
            sleep(Duration::from_millis(*for_ms)).await;
            let recording = members::recording(address).await.ok_or_else(silent)?;
            let work = |s: &&Statement| s.user == DATA_USER;
            Ok(Hit {
                process: Some(member.clone()),
                statements: Some(recording.statements.iter().filter(work).count()),
            })
        }
        FaultAction::Placement { subject, state } => {
            let store = fleet.lock().await.store.clone();
            objects::put(&store, kind::PLACEMENT, subject, state).await?;
            Ok(Hit::default())
        }
    }
}

/// Waits until the process with this id has ended, or was replaced after its end.
async fn await_end(fleet: &Mutex<Fleet>, name: &str, id: u32) -> Result<(), HarnessError> {
    let deadline = Instant::now() + STOP_LIMIT;
    loop {
        {
            let mut fleet = fleet.lock().await;
            let process = fleet.process(name)?;
            if process.id() != id || process.ended()?.is_some() {
                return Ok(());
            }
        }
        if Instant::now() > deadline {
            return Err(HarnessError::Condition(format!("{name} stopped")));
        }
        sleep(POLL).await;
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
