//! Guards against reads that miss an earlier write of the same session.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep_until;

use crate::support::assert_served;
use crate::support::run;
use crate::support::scenario;

/// Sessions change the daemon before every second operation. Replicas apply entries later than
/// most sessions read them, and one is suspended and catches up later.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_that_roam_read_their_writes_from_lagging_replicas() {
    let organisations = json!([
        {"name": "alder", "rate": 400, "burst": 200, "max_age_ms": 3000, "sessions": 12,
         "writes": 0.4, "transactions": 0.2, "roam": 0.5,
         "offered": [{"from_ms": 0, "multiple": 0.3}]},
        {"name": "birch", "rate": 400, "burst": 200, "max_age_ms": 3000, "sessions": 40,
         "writes": 0.1, "roam": 0.5, "offered": [{"from_ms": 0, "multiple": 0.3}]},
    ]);
    let scenario = scenario(5000, &json!({"lag_ms": 150}), &organisations);
    let report = run(&scenario, |fleet, start| async move {
        sleep_until(start + Duration::from_millis(1000)).await;
        fleet.lock().await.process("m3").unwrap().pause().unwrap();
        sleep_until(start + Duration::from_millis(3000)).await;
        fleet.lock().await.process("m3").unwrap().resume().unwrap();
    })
    .await;
    // Without reads by replicas the test would show nothing.
    assert!(report.reads.replicas >= 50, "{:?}", report.reads);
    assert_served(&report);
}
