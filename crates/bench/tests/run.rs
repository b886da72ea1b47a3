//! Guards against a load tool that cannot run the processes together, or overlooks their faults.
//! The binaries of the workspace must have been built.

use magnoliahatch_bench::harness::binaries;
use magnoliahatch_bench::history::checker;
use magnoliahatch_bench::history::file;
use magnoliahatch_bench::history::outcome::Outcome;
use magnoliahatch_bench::load::report::Report;
use magnoliahatch_bench::load::run;
use magnoliahatch_bench::load::run::RunOptions;
use magnoliahatch_bench::load::scenario::Scenario;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

fn scenario(faults: Value) -> Scenario {
    let scenario = json!({
        "name": "test",
        "length_ms": 2000,
        "fleet": {
            "data_centres": [
                {"name": "a", "region": "north"},
                {"name": "b", "region": "south"},
            ],
            "hosts": [
                {"name": "host-1", "data_centre": "a"},
                {"name": "host-2", "data_centre": "b"},
                // Without a third host the loss of one leaves no majority, and the other refuses
                // new work while the store is down.
                {"name": "host-3", "data_centre": "b"},
            ],
            "databases": [{
                "name": "db",
                "slots": 2,
                "connections": 16,
                "members": [
                    {"name": "m1", "data_centre": "a"},
                    {"name": "m2", "data_centre": "b"},
                    {"name": "m3", "data_centre": "b"},
                ],
            }],
            "latency": {"data_centres_us": 0, "regions_us": 2000, "clients_us": 500},
        },
        "organisations": [
            {"name": "alder", "rate": 100, "burst": 100, "sessions": 8, "writes": 0.4,
             "transactions": 0.3, "roam": 0.3, "offered": [{"from_ms": 0, "multiple": 0.5}],
             "retry": {"attempts": 5, "wait_ms": 50}},
            {"name": "birch", "rate": 100, "burst": 100, "sessions": 6, "writes": 0.2,
             "offered": [{"from_ms": 0, "multiple": 0.5}],
             "retry": {"attempts": 5, "wait_ms": 50}},
        ],
        "faults": faults,
    });
    let scenario: Scenario = serde_json::from_value(scenario).unwrap();
    scenario.validate().unwrap();
    scenario
}

async fn run(scenario: &Scenario, folder: &TempDir) -> Report {
    let options = RunOptions {
        binaries: binaries::folder().unwrap(),
        repeat: 0,
        seed: 5,
        history: Some(folder.path().join("history.jsonl")),
        logs: None,
    };
    run::run(scenario, &scenario.variants()[0], &options)
        .await
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn undisturbed_run_serves_everything_and_its_history_holds() {
    let folder = TempDir::new().unwrap();
    let scenario = scenario(json!([]));
    let report = run(&scenario, &folder).await;
    println!("{report}");
    assert!(report.verdict.is_valid(), "{}", report.verdict);
    for summary in &report.organisations {
        assert_eq!((summary.served, summary.unknown), (summary.offered, 0));
        assert!(summary.offered > 30, "{}", summary.offered);
        // Two passes of the link between callers and hosts.
        assert!(summary.all.p50_ms >= 1.0, "{}", summary.all.p50_ms);
    }
    assert!(report.reads.replicas > 0);
    let records = file::read(&folder.path().join("history.jsonl")).unwrap();
    assert_eq!(records.len(), report.verdict.records);
    assert!(checker::check(&records, &scenario.limits()).is_valid());
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_reach_hosts_links_and_store_and_the_history_still_holds() {
    let folder = TempDir::new().unwrap();
    let report = run(
        &scenario(json!([
            {"at_ms": 300, "action": {"type": "store", "fault": {"mode": "down"}}},
            {"at_ms": 400, "action": {"type": "kill", "process": "host-2"}},
            {"at_ms": 700, "action": {"type": "pause", "process": "m3", "for_ms": 300}},
            {"at_ms": 1000, "action": {"type": "link", "link": "host-host-1",
                                       "change": {"reset": true}}},
            {"at_ms": 1100, "action": {"type": "store", "fault": {"mode": "none"}}},
            {"at_ms": 1200, "action": {"type": "restart", "process": "host-2"}},
            {"at_ms": 1300, "action": {"type": "kill", "process": "nobody"}},
        ])),
        &folder,
    )
    .await;
    println!("{report}");
    assert!(report.verdict.is_valid(), "{}", report.verdict);
    let failed: Vec<_> = report
        .faults
        .iter()
        .filter(|fault| fault.error.is_some())
        .collect();
    assert_eq!(failed.len(), 1, "{failed:?}");
    let records = file::read(&folder.path().join("history.jsonl")).unwrap();
    let served_by_killed = |from_ms: u64, to_ms: u64| {
        records
            .iter()
            .filter(|r| r.host == "host-2" && r.outcome == Outcome::Ran)
            .filter(|r| (from_ms..to_ms).contains(&(r.invoked / 1000)))
            .count()
    };
    assert!(served_by_killed(0, 400) > 0);
    assert_eq!(served_by_killed(450, 1150), 0);
    assert!(served_by_killed(1200, u64::MAX) > 0);
    for summary in &report.organisations {
        assert!(summary.served * 10 > summary.offered * 8, "{summary:?}");
    }
}

/// Guards against a stop that is lost because it goes to a process whose restart is pending; the
/// next restart would then wait for a process that was never stopped (soak, seed 417).
#[tokio::test(flavor = "multi_thread")]
async fn stop_during_a_restart_stops_the_new_process() {
    let folder = TempDir::new().unwrap();
    let host = |at_ms: u64, action: &str| json!({"at_ms": at_ms, "action": {"type": action, "process": "host-1"}});
    let scenario = scenario(json!([
        {"at_ms": 100, "action": {"type": "pause", "process": "host-1", "for_ms": 600}},
        host(200, "stop"),
        host(250, "restart"),
        host(300, "stop"),
        host(5000, "restart"),
    ]));
    let report = run(&scenario, &folder).await;
    println!("{report}");
    for step in &report.faults {
        assert_eq!(step.error, None, "{:?}", step.action);
    }
    assert!(report.verdict.is_valid(), "{}", report.verdict);
}
