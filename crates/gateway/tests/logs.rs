//! Tests of the limits on log volume.

use std::time::Duration;

use magnoliahatch_gateway::log_limit::LogLimit;
use magnoliahatch_gateway::logs;

/// Approximate length in bytes of a log line with all its fields.
const LINE_BYTES: u64 = 300;

/// Very many refusals in a short time. The log volume must stay under 1 MB per minute, and other
/// events must still be logged.
#[test]
fn frequent_event_is_limited_and_does_not_suppress_others() {
    let limit = LogLimit::default();
    let mut lines = 0;
    for millis in 0..60_000_u64 {
        let now = Duration::from_millis(100_000 + millis);
        for _ in 0..3 {
            lines += u64::from(limit.admit(661, now));
        }
    }
    assert!(lines * LINE_BYTES < 1_000_000, "{lines} lines in a minute");
    assert!(lines > 400, "{lines} lines in a minute");
    assert!(limit.admit(650, Duration::from_millis(160_000)));
}

/// Only a small fraction of the requests may be sampled, but not almost none.
#[test]
fn small_fraction_of_the_requests_is_sampled() {
    let sampled = (0..64_000_u32)
        .filter(|n| logs::sampled(format!("{:016x}", n.wrapping_mul(2_654_435_761)).as_bytes()))
        .count();
    assert!((500..2000).contains(&sampled), "{sampled} of 64000");
}
