//! One run of a scenario.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex as BlockingMutex;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::harness::fleet::Binaries;
use crate::harness::fleet::Fleet;
use crate::history::checker;
use crate::history::record::Record;
use crate::history::record::SessionId;
use crate::load::arrivals::Arrivals;
use crate::load::collector;
use crate::load::collector::Results;
use crate::load::error::LoadError;
use crate::load::failover;
use crate::load::fault_plan::InjectedFault;
use crate::load::injector;
use crate::load::organisation::OrganisationPlan;
use crate::load::phase::PhaseReport;
use crate::load::prepare;
use crate::load::read_share;
use crate::load::read_share::ReadShare;
use crate::load::report::Report;
use crate::load::sample::OperationKind;
use crate::load::sample::Sample;
use crate::load::scenario::Scenario;
use crate::load::scenario::Variant;
use crate::load::session::DueOperation;
use crate::load::session::Session;
use crate::load::session::SessionContext;
use crate::load::summary::Summary;
use crate::load::target::Caller;
use crate::load::target::EntryHost;
use crate::load::token_bucket::TokenBucket;

/// Delay between the end of the preparations and the start of the load.
const START_DELAY: Duration = Duration::from_millis(200);

/// Options of a run besides its scenario and variant.
#[derive(Debug, Clone)]
pub struct RunOptions {
    pub binaries: PathBuf,
    pub repeat: u32,
    pub seed: u64,
    pub history: Option<PathBuf>,
    /// Folder to which the logs of the processes are copied after the run.
    pub logs: Option<PathBuf>,
}

/// Starts the fleet of a variant, runs the load with the scenario's faults, audits the rows and
/// checks the history.
pub async fn run(
    scenario: &Scenario,
    variant: &Variant,
    options: &RunOptions,
) -> Result<Report, LoadError> {
    let faults = scenario.faults.clone();
    let inject = |fleet, start| injector::inject(fleet, faults, start);
    run_with_faults(scenario, variant, options, inject).await
}

/// Like [`run`], but `inject` injects the faults instead of those of the scenario. It is called
/// with the fleet and the start time of the load.
pub async fn run_with_faults<F>(
    scenario: &Scenario,
    variant: &Variant,
    options: &RunOptions,
    inject: impl FnOnce(Arc<Mutex<Fleet>>, Instant) -> F,
) -> Result<Report, LoadError>
where
    F: Future<Output = Vec<InjectedFault>>,
{
    let binaries = Binaries {
        folder: options.binaries.clone(),
        daemon: variant.daemon_binary.clone(),
    };
    let contracts = scenario.contracts();
    let fleet = Fleet::start(scenario.fleet_of(variant), &contracts, binaries).await?;
    let hosts = &fleet.plan().hosts;
    let entries = hosts.iter().map(|host| {
        Ok(EntryHost {
            host: host.name.clone(),
            sql_address: fleet.entry(&host.name)?,
        })
    });
    let entries = Arc::new(entries.collect::<Result<Vec<_>, LoadError>>()?);
    let callers = callers(scenario, &fleet)?;
    let deadline = Instant::now() + prepare::SERVING_TIMEOUT;
    for database in &fleet.plan().databases {
        // Any organisation may create the table; the first one that uses the database does so.
        let mut users = callers.iter().flatten();
        if let Some((_, caller)) = users.find(|(_, caller)| caller.route == database.name) {
            prepare::wait_until_serving(&entries, caller, deadline).await?;
            prepare::create_table(&entries, caller, deadline).await?;
        }
    }
    let fleet = Arc::new(Mutex::new(fleet));
    let loaded = run_load(scenario, options, &fleet, &entries, &callers, inject).await;
    let (results, injected, reads, start) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            copy_logs(&fleet, options).await?;
            return Err(error);
        }
    };
    let mut records = results.records;
    let deadline = Instant::now() + prepare::SERVING_TIMEOUT;
    for (_, caller) in callers.iter().flatten() {
        // The checker reports an organisation without an audit as a violation.
        match prepare::audit(&entries, caller, start, deadline).await {
            Ok(record) => records.push(record),
            Err(error) => tracing::error!(event = 511, %error, "audit failed"),
        }
    }
    let samples = results.samples;
    copy_logs(&fleet, options).await?;
    let records = match &options.history {
        Some(path) => collector::write_history(path.clone(), records).await?,
        None => records,
    };
    Ok(report(
        scenario, variant, options, &records, &samples, injected, reads,
    ))
}

async fn copy_logs(fleet: &Mutex<Fleet>, options: &RunOptions) -> Result<(), LoadError> {
    if let Some(folder) = &options.logs {
        fleet.lock().await.copy_logs(folder)?;
    }
    Ok(())
}

/// Returns the callers of each organisation, each with the index of its database.
fn callers(scenario: &Scenario, fleet: &Fleet) -> Result<Vec<Vec<(usize, Caller)>>, LoadError> {
    let databases = &fleet.plan().databases;
    let callers_of = |plan: &OrganisationPlan| {
        let uses = |name: &String| plan.databases.is_empty() || plan.databases.contains(name);
        let used = databases
            .iter()
            .enumerate()
            .filter(|(_, database)| uses(&database.name));
        let callers = used.map(|(index, database)| {
            let caller = Caller {
                organisation: plan.name.clone(),
                route: database.name.clone(),
                key: fleet.key(&plan.name)?.to_owned(),
            };
            Ok((index, caller))
        });
        callers.collect()
    };
    scenario.organisations.iter().map(callers_of).collect()
}

/// Runs the load and the faults until all sessions have ended.
async fn run_load<F>(
    scenario: &Scenario,
    options: &RunOptions,
    fleet: &Arc<Mutex<Fleet>>,
    entries: &Arc<Vec<EntryHost>>,
    callers: &[Vec<(usize, Caller)>],
    inject: impl FnOnce(Arc<Mutex<Fleet>>, Instant) -> F,
) -> Result<(Results, Vec<InjectedFault>, ReadShare, Instant), LoadError>
where
    F: Future<Output = Vec<InjectedFault>>,
{
    let start = Instant::now() + START_DELAY;
    let (sender, receiver) = mpsc::unbounded_channel();
    let collected = tokio::spawn(collector::collect(receiver));
    let (stop, stopped) = oneshot::channel();
    let reads = tokio::spawn(read_share::count_reads(Arc::clone(fleet), stopped));
    let injected = inject(Arc::clone(fleet), start);

    let mut tasks = JoinSet::new();
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut number: SessionId = 0;
    for (organisation, plan) in scenario.organisations.iter().enumerate() {
        let sent_bucket = Arc::new(BlockingMutex::new(TokenBucket::new(plan.rate, plan.burst)));
        let mut queues = Vec::new();
        let uses = |entry: &&EntryHost| plan.hosts.is_empty() || plan.hosts.contains(&entry.host);
        let used_entries: Vec<_> = entries.iter().filter(uses).cloned().collect();
        let used_entries = Arc::new(used_entries);
        for (caller_index, (database, caller)) in callers[organisation].iter().enumerate() {
            let context = Arc::new(SessionContext {
                plan: plan.clone(),
                organisation,
                database: *database,
                caller: caller.clone(),
                entries: Arc::clone(&used_entries),
                start,
                deadline: Duration::from_millis(scenario.deadline_ms),
                sent_bucket: Arc::clone(&sent_bucket),
                keys: BlockingMutex::default(),
                results: sender.clone(),
            });
            let (queue, due) = mpsc::unbounded_channel();
            let due = Arc::new(Mutex::new(due));
            // The sessions are spread evenly over the databases, at least one each.
            let used = callers[organisation].len();
            let sessions = (plan.sessions as usize + used - 1 - caller_index) / used;
            for _ in 0..sessions.max(1) {
                number += 1;
                let seed = StdRng::seed_from_u64(random.random());
                let session = Session::new(Arc::clone(&context), number, seed);
                tasks.spawn(session.run(Arc::clone(&due)));
            }
            queues.push(queue);
        }
        let seed = random.random();
        tasks.spawn(enqueue_operations(
            plan.clone(),
            scenario.length(),
            start,
            queues,
            seed,
        ));
    }
    drop(sender);
    let sessions = async {
        while let Some(ended) = tasks.join_next().await {
            ended?;
        }
        Ok::<_, LoadError>(())
    };
    let (ended, injected) = tokio::join!(sessions, injected);
    ended?;
    drop(stop);
    Ok((collected.await?, injected, reads.await?, start))
}

/// Enqueues the operations of one organisation as they become due.
async fn enqueue_operations(
    plan: OrganisationPlan,
    length: Duration,
    start: Instant,
    queues: Vec<mpsc::UnboundedSender<DueOperation>>,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let arrivals = Arrivals::new(&plan, length, StdRng::seed_from_u64(random.random()));
    let mut bucket = TokenBucket::new(plan.rate, plan.burst);
    for at in arrivals {
        let kind = if !random.random_bool(plan.writes) {
            OperationKind::Read
        } else if random.random_bool(plan.transactions) {
            OperationKind::Transaction
        } else {
            OperationKind::Write
        };
        let inside = bucket.try_take(at, kind.statements());
        let queue = &queues[random.random_range(0..queues.len())];
        sleep_until(start + at).await;
        // Sessions run until their queue is closed, so the receiver still exists.
        let _ = queue.send(DueOperation { at, inside, kind });
    }
}

fn report(
    scenario: &Scenario,
    variant: &Variant,
    options: &RunOptions,
    records: &[Record],
    samples: &[Sample],
    faults: Vec<InjectedFault>,
    reads: ReadShare,
) -> Report {
    let databases = &scenario.fleet.databases;
    let organisations = scenario
        .organisations
        .iter()
        .enumerate()
        .map(|(index, plan)| {
            let own: Vec<_> = samples.iter().filter(|s| s.organisation == index).collect();
            Summary::of(plan.name.clone(), &own)
        });
    let failovers = faults
        .iter()
        .filter(|fault| fault.error.is_none())
        .filter_map(|fault| {
            let name = fault.action.affected_database()?;
            let index = databases
                .iter()
                .position(|database| database.name == name)?;
            let own: Vec<_> = samples.iter().filter(|s| s.database == index).collect();
            Some(failover::measure(fault, name, &own))
        });
    let names = scenario.organisations.iter().map(|plan| plan.name.clone());
    let names: Vec<_> = names.collect();
    let phase = |phase| PhaseReport::of(phase, &names, samples);
    Report {
        scenario: scenario.name.clone(),
        variant: variant.name.clone(),
        repeat: options.repeat,
        seed: options.seed,
        length_ms: scenario.length_ms,
        organisations: organisations.collect(),
        phases: scenario.phases.iter().map(phase).collect(),
        failovers: failovers.collect(),
        reads,
        faults,
        verdict: checker::check(records, &scenario.limits()),
    }
}
