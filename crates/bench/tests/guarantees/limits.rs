//! Guards against organisations above their rate and burst, connections above a member's limit,
//! and refusals below the rate.

use std::time::Duration;

use magnoliahatch_bench::harness::members;
use magnoliahatch_bench::load::report::Report;
use magnoliahatch_bench::load::scenario::Scenario;
use magnoliahatch_bench::store::fault::OutageAnswer;
use magnoliahatch_bench::store::fault::StoreFault;
use magnoliahatch_core::seat::LEASE_DURATION;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::support::Shared;
use crate::support::assert_served;
use crate::support::cut_control;
use crate::support::run;
use crate::support::scenario;

/// Load before the first fault.
const BEFORE: Duration = Duration::from_millis(800);
/// How long a daemon is away: its leases and loans end meanwhile.
const AWAY: Duration = LEASE_DURATION.saturating_add(Duration::from_millis(1000));
/// Load after a fault.
const AFTER: Duration = Duration::from_millis(1500);
/// Connections that all daemons together may open to one member.
const CONNECTIONS: usize = 18;

/// Three times the contract. Statements occupy their slots long enough for the daemons to want
/// more connections than they may open.
fn overload(length_ms: u64) -> Scenario {
    let organisations = json!([
        {"name": "cedar", "rate": 100, "burst": 60, "sessions": 90, "writes": 0.3,
         "offered": [{"from_ms": 0, "multiple": 3.0}]},
    ]);
    let members = json!({"service_us": 5000, "spare_connections": 40});
    scenario(length_ms, &members, &organisations)
}

/// Checks the most connections that each member has had open at once.
async fn assert_connections(fleet: &Shared) {
    for member in ["m1", "m2", "m3"] {
        let address = fleet.lock().await.member(member).unwrap();
        let peak = members::recording(address).await.unwrap().peak;
        println!("{member}: at most {peak} connections");
        assert!((1..=CONNECTIONS).contains(&peak), "{member}: {peak}");
    }
}

async fn set_store(fleet: &Shared, fault: StoreFault) {
    let set = fleet.lock().await.set_store_fault(&fault).await;
    set.unwrap();
}

fn down() -> StoreFault {
    StoreFault::Down {
        answer: OutageAnswer::Refuse,
    }
}

fn assert_refused(report: &Report) {
    for summary in &report.organisations {
        assert!(summary.failures.contains_key("53300"), "{summary:?}");
    }
}

/// A daemon that resumes holds a share that the others may have been given meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn overload_while_a_daemon_is_paused_and_another_killed() {
    let report = run(&overload(10_000), |fleet, start| async move {
        sleep_until(start + BEFORE).await;
        set_store(&fleet, down()).await;
        let paused = fleet.lock().await.process("host-2").unwrap().pause();
        paused.unwrap();
        sleep(AWAY).await;
        let resumed = fleet.lock().await.process("host-2").unwrap().resume();
        resumed.unwrap();
        sleep(AFTER).await;
        set_store(&fleet, StoreFault::None).await;
        let killed = fleet.lock().await.process("host-3").unwrap().kill();
        killed.unwrap();
        sleep(AFTER).await;
        assert_connections(&fleet).await;
    })
    .await;
    assert_served(&report);
    assert_refused(&report);
}

/// Two of three daemons that grant each other leases have to serve, although one of them was
/// silent for longer than a lease and the seat table cannot be rewritten.
#[tokio::test(flavor = "multi_thread")]
async fn majority_serves_after_a_pause_and_a_loss_while_the_store_is_down() {
    let organisations = json!([{"name": "cedar", "rate": 100, "burst": 60, "sessions": 20}]);
    let scenario = scenario(8000, &json!({}), &organisations);
    let report = run(&scenario, |fleet, start| async move {
        sleep_until(start + BEFORE).await;
        set_store(&fleet, down()).await;
        let paused = fleet.lock().await.process("host-2").unwrap().pause();
        paused.unwrap();
        sleep(AWAY).await;
        let resumed = fleet.lock().await.process("host-2").unwrap().resume();
        resumed.unwrap();
        let killed = fleet.lock().await.process("host-3").unwrap().kill();
        killed.unwrap();
    })
    .await;
    // The audit after the load has to be served.
    assert_served(&report);
}

/// Callers still reach the daemon that is cut off from the others.
#[tokio::test(flavor = "multi_thread")]
async fn overload_while_a_daemon_is_cut_off_and_another_starts_again() {
    let report = run(&overload(10_000), |fleet, start| async move {
        sleep_until(start + BEFORE).await;
        cut_control(&fleet, "host-1", true).await;
        sleep(AWAY).await;
        set_store(&fleet, down()).await;
        cut_control(&fleet, "host-1", false).await;
        let killed = fleet.lock().await.process("host-3").unwrap().kill();
        killed.unwrap();
        fleet.lock().await.restart("host-3").await.unwrap();
        sleep(AFTER).await;
        set_store(&fleet, StoreFault::None).await;
        sleep(AFTER).await;
        assert_connections(&fleet).await;
    })
    .await;
    assert_served(&report);
    assert_refused(&report);
}

/// One organisation uses all daemons and the other a single one.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_refused_below_the_rate() {
    let organisations = json!([
        {"name": "alder", "rate": 200, "burst": 200, "sessions": 30, "writes": 0.1,
         "offered": [{"from_ms": 0, "multiple": 0.88}]},
        {"name": "birch", "rate": 200, "burst": 200, "sessions": 30, "writes": 0.1,
         "hosts": ["host-2"], "offered": [{"from_ms": 0, "multiple": 0.88}]},
    ]);
    let scenario = scenario(7000, &json!({}), &organisations);
    let report = run(&scenario, |_, _| async {}).await;
    for summary in &report.organisations {
        assert_eq!(summary.wrongful, 0, "{summary:?}");
        assert_eq!(summary.served, summary.offered, "{summary:?}");
    }
}
