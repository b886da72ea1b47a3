//! Injects the faults of a scenario at their times.

use std::collections::BTreeMap;
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

/// Timeout of a graceful shutdown: longer than the daemon's own timeout for open transactions.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Database user of the connections on which the proxy forwards callers' statements.
const DATA_USER: &str = "proxy";
/// Timeout of a drain under load; short, since the sessions' transactions are short.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of checks for the exit of a process or the end of a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The process that a fault affected and the statements that it counted.
#[derive(Debug, Default)]
struct Effect {
    process: Option<String>,
    statements: Option<usize>,
}

impl Effect {
    fn on_process(process: &str) -> Self {
        Self {
            process: Some(process.to_owned()),
            statements: None,
        }
    }
}

/// Locks that are held while a process is restarted, by its name.
#[derive(Debug, Default)]
struct Restarts {
    locks: Mutex<BTreeMap<String, Arc<Mutex<()>>>>,
}

impl Restarts {
    async fn of(&self, process: &str) -> Arc<Mutex<()>> {
        let mut locks = self.locks.lock().await;
        Arc::clone(locks.entry(process.to_owned()).or_default())
    }
}

/// Injects each fault at its time and returns the results in the order of the plans.
pub async fn inject(
    fleet: Arc<Mutex<Fleet>>,
    faults: Vec<FaultPlan>,
    start: Instant,
) -> Vec<InjectedFault> {
    let restarts = &Restarts::default();
    let tasks = faults.into_iter().map(|fault| {
        let fleet = Arc::clone(&fleet);
        async move {
            sleep_until(start + Duration::from_millis(fault.at_ms)).await;
            let at = start.elapsed();
            let result = apply(&fleet, restarts, &fault.action).await;
            tracing::info!(event = 510, action = ?fault.action, ?result, "fault injected");
            let (effect, error) = match result {
                Ok(effect) => (effect, None),
                Err(error) => (Effect::default(), Some(error.to_string())),
            };
            InjectedFault {
                at,
                ended: start.elapsed(),
                action: fault.action,
                process: effect.process,
                statements: effect.statements,
                error,
            }
        }
    });
    futures::future::join_all(tasks).await
}

async fn apply(
    fleet: &Mutex<Fleet>,
    restarts: &Restarts,
    action: &FaultAction,
) -> Result<Effect, HarnessError> {
    match action {
        FaultAction::KillPrimary { database } => {
            let mut fleet = fleet.lock().await;
            let primary = fleet.primary(database).await?;
            fleet.process(&primary)?.kill()?;
            Ok(Effect::on_process(&primary))
        }
        FaultAction::PausePrimary { database, for_ms } => {
            let primary = fleet.lock().await.primary(database).await?;
            pause(fleet, &primary, *for_ms).await?;
            Ok(Effect::on_process(&primary))
        }
        FaultAction::CutPrimary { database, for_ms } => {
            let primary = fleet.lock().await.primary(database).await?;
            set_member_links(fleet, &primary, LinkMode::Cut).await?;
            sleep(Duration::from_millis(*for_ms)).await;
            set_member_links(fleet, &primary, LinkMode::Pass).await?;
            Ok(Effect::on_process(&primary))
        }
        FaultAction::Kill { process } => {
            fleet.lock().await.process(process)?.kill()?;
            Ok(Effect::on_process(process))
        }
        FaultAction::Restart { process } => {
            let restart = restarts.of(process).await;
            let _restarting = restart.lock().await;
            let id = fleet.lock().await.process(process)?.id();
            wait_for_exit(fleet, process, id).await?;
            fleet.lock().await.restart(process).await?;
            Ok(Effect::on_process(process))
        }
        FaultAction::Stop { process } => {
            let id = {
                // Otherwise the signal would go to the process that is being replaced.
                let restart = restarts.of(process).await;
                let _no_restart = restart.lock().await;
                let mut fleet = fleet.lock().await;
                let stopping = fleet.process(process)?;
                stopping.terminate()?;
                stopping.id()
            };
            wait_for_exit(fleet, process, id).await?;
            Ok(Effect::on_process(process))
        }
        FaultAction::Pause { process, for_ms } => {
            pause(fleet, process, *for_ms).await?;
            Ok(Effect::on_process(process))
        }
        FaultAction::Link { link, change } => {
            fleet.lock().await.faults.change(link, change).await?;
            Ok(Effect::default())
        }
        FaultAction::Store { fault } => {
            fleet.lock().await.set_store_fault(fault).await?;
            Ok(Effect::default())
        }
        FaultAction::Switchover { database } => {
            let (admin, old) = {
                let mut fleet = fleet.lock().await;
                let host = fleet.plan().hosts.first().map(|host| host.name.clone());
                let admin = fleet.process(&host.unwrap_or_default())?.listen("admin")?;
                (admin, fleet.primary(database).await?)
            };
            let failed = |error| {
                HarnessError::Condition(format!("the switchover of {database} is done: {error}"))
            };
            let client = AdminClient::open(vec![admin.to_string()]).map_err(failed)?;
            let path = format!("/databases/{database}/switchover");
            let request = SwitchoverRequest::default();
            let done = client.post::<SwitchoverResult>(&path, Some(&request)).await;
            done.map_err(failed)?;
            Ok(Effect::on_process(&old))
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
                    sleep(POLL_INTERVAL).await;
                }
            };
            let done = timeout(DRAIN_TIMEOUT, drained).await;
            match done {
                Ok(Ok(())) => Ok(Effect::default()),
                Ok(Err(error)) => Err(HarnessError::Condition(error.to_string())),
                Err(_) => Err(HarnessError::Condition(format!(
                    "{subject} is drained; last status: {last}"
                ))),
            }
        }
        FaultAction::CountWork { member, for_ms } => {
            let address = fleet.lock().await.member(member)?;
            let unreachable =
                || HarnessError::Condition(format!("{member} answers the control request"));
            members::record(address).await.ok_or_else(unreachable)?;
            sleep(Duration::from_millis(*for_ms)).await;
            let recording = members::recording(address).await.ok_or_else(unreachable)?;
            let from_caller = |s: &&Statement| s.user == DATA_USER;
            Ok(Effect {
                process: Some(member.clone()),
                statements: Some(recording.statements.iter().filter(from_caller).count()),
            })
        }
        FaultAction::Placement { subject, state } => {
            let store = fleet.lock().await.store.clone();
            objects::put(&store, kind::PLACEMENT, subject, state).await?;
            Ok(Effect::default())
        }
    }
}

/// Waits until the process with this id has exited or a new process has replaced it.
async fn wait_for_exit(fleet: &Mutex<Fleet>, name: &str, id: u32) -> Result<(), HarnessError> {
    let deadline = Instant::now() + STOP_TIMEOUT;
    loop {
        {
            let mut fleet = fleet.lock().await;
            let process = fleet.process(name)?;
            if process.id() != id || process.ended()?.is_some() {
                return Ok(());
            }
        }
        if Instant::now() > deadline {
            return Err(HarnessError::Condition(format!("{name} has stopped")));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn pause(fleet: &Mutex<Fleet>, process: &str, for_ms: u64) -> Result<(), HarnessError> {
    fleet.lock().await.process(process)?.pause()?;
    sleep(Duration::from_millis(for_ms)).await;
    fleet.lock().await.process(process)?.resume()
}

/// Sets the mode of the fault proxy's links to a member. Connections that the member opens to
/// others are not affected, but a primary opens none.
async fn set_member_links(
    fleet: &Mutex<Fleet>,
    member: &str,
    mode: LinkMode,
) -> Result<(), HarnessError> {
    let fleet = fleet.lock().await;
    let change = LinkChange {
        mode: Some(mode),
        ..LinkChange::default()
    };
    fleet.faults.change(&links::member(member), &change).await?;
    fleet.faults.change(&links::peer(member), &change).await?;
    Ok(())
}
