//! Tests the arithmetic of the capacity tool, and the counters that it reads.

use std::time::Duration;

use magnoliahatch_bench::capacity::fleet_size::FleetSize;
use magnoliahatch_bench::capacity::report;
use magnoliahatch_bench::capacity::sample::CounterReader;
use tokio::time::Instant;
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against wrong slopes. All extrapolations in docs/CAPACITY.md are based on them.
#[test]
fn slope_and_quantiles() {
    let (slope, offset) = report::fit_line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((slope - 2.0).abs() < 1e-9 && (offset - 3.0).abs() < 1e-9);
    assert!(report::fit_line(&[(1.0, 5.0), (2.0, 7.0)]).is_none());
    assert_eq!(report::quantile(vec![3.0, 1.0, 2.0], 0.5), 2.0);
    assert!(report::quantile(Vec::new(), 0.5).is_nan());
}

/// Guards against renamed counters, which the tool would report as 0.
#[tokio::test]
async fn daemon_has_all_counters_of_the_tool() {
    let size = FleetSize {
        daemons: 2,
        databases: 1,
        organisations: 1,
    };
    let mut fleet = size.start().await.unwrap();
    let reader = CounterReader::open(&mut fleet).unwrap();
    let before = reader.read().await.unwrap();
    let names = [
        "control_percent",
        "process_percent",
        "resident_bytes",
        "mesh_frames_s",
        "mesh_wire_bytes_s",
        "mesh_body_bytes_s",
        "verb_calls_s",
        "verb_bytes_s",
        "store_calls_s",
        "store_bytes_s",
        "databases",
    ];
    let started = Instant::now();
    loop {
        let rates = reader.read().await.unwrap().rates(&before);
        let missing = names.iter().find(|name| rates[**name] <= 0.0);
        let Some(missing) = missing else { break };
        assert!(started.elapsed() < TIMEOUT, "{missing} did not increase");
        sleep(Duration::from_millis(20)).await;
    }
}
