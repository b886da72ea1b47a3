//! Runs a load on a fleet while a fault is injected, and waits for its effects.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_bench::fault::api::LinkChange;
use magnoliahatch_bench::fault::mode::LinkMode;
use magnoliahatch_bench::harness::binaries;
use magnoliahatch_bench::harness::fleet::Fleet;
use magnoliahatch_bench::harness::links;
use magnoliahatch_bench::harness::members;
use magnoliahatch_bench::harness::members::MemberStatus;
use magnoliahatch_bench::load::report::Report;
use magnoliahatch_bench::load::run;
use magnoliahatch_bench::load::run::RunOptions;
use magnoliahatch_bench::load::scenario::Scenario;
use magnoliahatch_client::logs;
use magnoliahatch_client::logs::LogFormat;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// The database of all fleets.
pub(crate) const DATABASE: &str = "db";
/// The hosts of all fleets.
pub(crate) const HOSTS: [&str; 3] = ["host-1", "host-2", "host-3"];
/// Seed of the loads; each report prints it.
const SEED: u64 = 5;
/// Operations of each organisation that have to be served for a history to show something.
const SERVED: u64 = 50;
/// Upper limit of each wait on a condition.
const LIMIT: Duration = Duration::from_secs(15);
/// Interval at which a condition is checked.
const POLL: Duration = Duration::from_millis(10);

/// Variable with the folder for the logs of all processes, to trace a failure.
const LOGS: &str = "MAGNOLIAHATCH_TEST_LOGS";
/// Fleets that run at the same time; more would compete for cores.
static FLEETS: Semaphore = Semaphore::const_new(2);

/// A fleet while a load runs.
pub(crate) type Shared = Arc<Mutex<Fleet>>;

/// Three hosts and members in three regions, so that a change of primary takes long enough for
/// faults to hit its middle.
pub(crate) fn scenario(length_ms: u64, members: &Value, organisations: &Value) -> Scenario {
    let scenario = json!({
        "name": "guarantees",
        "length_ms": length_ms,
        "deadline_ms": 8000,
        "fleet": {
            "data_centres": [
                {"name": "a", "region": "north"},
                {"name": "b", "region": "central"},
                {"name": "c", "region": "south"},
            ],
            "hosts": [
                {"name": "host-1", "data_centre": "a"},
                {"name": "host-2", "data_centre": "b"},
                {"name": "host-3", "data_centre": "c"},
            ],
            "databases": [{
                "name": DATABASE, "slots": 4, "connections": 18,
                "members": [
                    {"name": "m1", "data_centre": "a"},
                    {"name": "m2", "data_centre": "b"},
                    {"name": "m3", "data_centre": "c"},
                ],
            }],
            "latency": {"data_centres_us": 0, "regions_us": 8000, "clients_us": 0},
            "members": members,
            "identify_sources": true,
            "daemon": {"log": {"format": "json"}},
        },
        "organisations": organisations,
    });
    let scenario: Scenario = serde_json::from_value(scenario).unwrap();
    scenario.validate().unwrap();
    scenario
}

/// Runs the load and the fault, and checks the history.
pub(crate) async fn run<F>(scenario: &Scenario, fault: impl FnOnce(Shared, Instant) -> F) -> Report
where
    F: Future<Output = ()>,
{
    // Shows why a run did not get as far as its audit.
    logs::init(LogFormat::Human, "error");
    let _permit = FLEETS.acquire().await.unwrap();
    let options = RunOptions {
        binaries: binaries::folder().unwrap(),
        repeat: 0,
        seed: SEED,
        history: None,
        logs: std::env::var_os(LOGS).map(Into::into),
    };
    let inject = |fleet, start| {
        let fault = fault(fleet, start);
        async {
            fault.await;
            Vec::new()
        }
    };
    let report = run::run_with_faults(scenario, &scenario.variants()[0], &options, inject).await;
    let report = report.unwrap();
    println!("{report}");
    assert!(report.verdict.is_valid(), "{}", report.verdict);
    report
}

/// Checks that each organisation was served, since a history of refusals shows nothing. The
/// number does not depend on how long a change of primary takes.
pub(crate) fn assert_served(report: &Report) {
    for summary in &report.organisations {
        assert!(summary.served >= SERVED, "{summary:?}");
    }
}

/// Repeats a check until it returns a value.
pub(crate) async fn eventually<T>(what: &str, mut check: impl AsyncFnMut() -> Option<T>) -> T {
    let repeat = async {
        loop {
            if let Some(found) = check().await {
                return found;
            }
            sleep(POLL).await;
        }
    };
    let found = timeout(LIMIT, repeat).await;
    found.unwrap_or_else(|_| panic!("not in time: {what}"))
}

/// State of a member, asked past the fault proxy; none if it does not answer.
pub(crate) async fn status(fleet: &Shared, member: &str) -> Option<MemberStatus> {
    let address = fleet.lock().await.member(member).ok()?;
    members::status(address).await
}

/// Waits until one of the members serves as primary.
pub(crate) async fn new_primary(fleet: &Shared, members: &[&str]) -> String {
    eventually("a new primary", async || {
        for member in members {
            let found = status(fleet, member).await;
            if found.is_some_and(|status| status.role == "primary") {
                return Some((*member).to_owned());
            }
        }
        None
    })
    .await
}

/// Cuts or restores the link between members to one of them.
pub(crate) async fn set_peer_link(fleet: &Shared, member: &str, mode: LinkMode) {
    let change = LinkChange {
        mode: Some(mode),
        ..LinkChange::default()
    };
    let fleet = fleet.lock().await;
    let changed = fleet.faults.change(&links::peer(member), &change).await;
    changed.unwrap();
}

/// Cuts the hosts off from a member, and no others.
pub(crate) async fn cut_hosts(fleet: &Shared, member: &str, hosts: &[&str]) {
    let sources: BTreeSet<_> = hosts.iter().map(|host| (*host).to_owned()).collect();
    let change = LinkChange {
        cut_sources: Some(sources),
        ..LinkChange::default()
    };
    let fleet = fleet.lock().await;
    let changed = fleet.faults.change(&links::member(member), &change).await;
    changed.unwrap();
}

/// Cuts a host off from the other daemons in both directions, or restores its links.
pub(crate) async fn cut_control(fleet: &Shared, host: &str, cut: bool) {
    let mode = if cut { LinkMode::Cut } else { LinkMode::Pass };
    let sources: BTreeSet<_> = cut.then(|| host.to_owned()).into_iter().collect();
    let fleet = fleet.lock().await;
    for other in HOSTS {
        let own = other == host;
        let change = LinkChange {
            mode: own.then_some(mode),
            cut_sources: (!own).then(|| sources.clone()),
            ..LinkChange::default()
        };
        let changed = fleet.faults.change(&links::control(other), &change).await;
        changed.unwrap();
    }
}
