//! The capacity tool's arithmetic and the counters that it reads.

use std::time::Duration;

use magnoliahatch_bench::capacity::report;
use magnoliahatch_bench::capacity::sample::Reader;
use magnoliahatch_bench::capacity::size::Size;
use tokio::time::Instant;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(30);

/// Guards against a wrong slope, on which every extrapolation in docs/CAPACITY.md rests.
#[test]
fn slope_and_quantiles() {
    let (slope, offset) = report::fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((slope - 2.0).abs() < 1e-9 && (offset - 3.0).abs() < 1e-9);
    assert!(report::fit(&[(1.0, 5.0), (2.0, 7.0)]).is_none());
    assert_eq!(report::quantile(vec![3.0, 1.0, 2.0], 0.5), 2.0);
    assert!(report::quantile(Vec::new(), 0.5).is_nan());
}

/// Guards against a renamed counter, which the tool would report as zero.
#[tokio::test]
async fn daemon_counts_what_the_tool_reads() {
    let size = Size {
        daemons: 2,
        databases: 1,
        organisations: 1,
    };
    let mut fleet = size.start().await.unwrap();
    let reader = Reader::open(&mut fleet).unwrap();
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
    let begun = Instant::now();
    loop {
        let rates = reader.read().await.unwrap().rates(&before);
        let missing = names.iter().find(|name| rates[**name] <= 0.0);
        let Some(missing) = missing else { break };
        assert!(begun.elapsed() < LIMIT, "{missing} did not increase");
        sleep(Duration::from_millis(20)).await;
    }
}
