//! Hosts and data centres leave and return, and a daemon stops.

use std::time::Duration;

use serde_json::json;

use crate::support::assert_only;
use crate::support::count;
use crate::support::counted;
use crate::support::drained;
use crate::support::place;
use crate::support::run;

/// A host that leaves refuses new sessions; nothing of them has run.
const DRAINING: &str = "57P03";

/// Longest time for one answer of the administration API on a busy machine.
const ANSWER: Duration = Duration::from_millis(500);

/// Fails if a host that left still serves sessions after 3 s, or cuts a request.
#[tokio::test(flavor = "multi_thread")]
async fn host_leaves_and_returns() {
    let report = run(
        6000,
        json!([
            place(500, "host/host-2", "out"),
            drained(700, "host/host-2"),
            drained(3500, "host/host-2"),
            place(4000, "host/host-2", "in"),
        ]),
    )
    .await;
    assert_only(&report, &[DRAINING]);
    let late = &report.faults[2];
    let waited = late.ended - late.at;
    assert!(waited < ANSWER, "sessions after 3 s: {waited:?}");
}

/// Fails if a data centre that holds the primary and a host keeps work after 3 s, or loses any.
#[tokio::test(flavor = "multi_thread")]
async fn data_centre_leaves_and_returns() {
    let report = run(
        8500,
        json!([
            place(500, "data-centre/a", "out"),
            drained(700, "data-centre/a"),
            count(3500, "m1"),
            place(4600, "data-centre/a", "in"),
            count(7400, "m1"),
        ]),
    )
    .await;
    assert_only(&report, &[DRAINING]);
    let found = counted(&report);
    assert_eq!(found[0], 0, "work after 3 s");
    assert!(found[1] > 0, "no work after the return");
}

/// Fails if a planned stop cuts a request.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_stops_and_starts_again() {
    let report = run(
        5000,
        json!([
            {"at_ms": 1000, "action": {"type": "stop", "process": "host-2"}},
            {"at_ms": 3000, "action": {"type": "restart", "process": "host-2"}},
        ]),
    )
    .await;
    assert_only(&report, &[DRAINING, "connect"]);
}
