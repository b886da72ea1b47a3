//! Endpoints leave and return.

use serde_json::json;

use crate::support::assert_undisturbed;
use crate::support::count;
use crate::support::counted;
use crate::support::drained;
use crate::support::place;
use crate::support::run;

/// Fails if a planned change lets callers see an error or loses a write.
#[tokio::test(flavor = "multi_thread")]
async fn switchover_interrupts_no_request() {
    let switch = json!({"type": "switchover", "database": "db"});
    let report = run(
        5000,
        json!([{"at_ms": 1500, "action": switch}, {"at_ms": 3000, "action": switch}]),
    )
    .await;
    assert_undisturbed(&report);
    let replaced: Vec<_> = report.faults.iter().map(|s| s.process.clone()).collect();
    assert_ne!(replaced[0], replaced[1]);
}

/// Fails if reads still go to a replica that left, or do not come back to it.
#[tokio::test(flavor = "multi_thread")]
async fn replica_leaves_and_returns() {
    let report = run(
        8500,
        json!([
            place(500, "endpoint/m2", "out"),
            drained(700, "endpoint/m2"),
            count(3500, "m2"),
            place(4600, "endpoint/m2", "in"),
            count(7400, "m2"),
        ]),
    )
    .await;
    assert_undisturbed(&report);
    let found = counted(&report);
    assert_eq!(found[0], 0, "work after 3 s");
    assert!(found[1] > 0, "no work after the return");
}

/// Fails if a primary that left keeps its role, or callers see its replacement.
#[tokio::test(flavor = "multi_thread")]
async fn primary_leaves_and_returns() {
    let report = run(
        8500,
        json!([
            place(500, "endpoint/m1", "out"),
            drained(700, "endpoint/m1"),
            count(3500, "m1"),
            place(4600, "endpoint/m1", "in"),
            count(7400, "m1"),
        ]),
    )
    .await;
    assert_undisturbed(&report);
    let found = counted(&report);
    assert_eq!(found[0], 0, "work after 3 s");
    assert!(found[1] > 0, "no work after the return");
}
