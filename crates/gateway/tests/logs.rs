//! Tests of the bounds on log lines.

use std::time::Duration;

use magnoliahatch_gateway::log_limit::LogLimit;
use magnoliahatch_gateway::logs;

/// Bytes of a line with all its fields.
const LINE_BYTES: u64 = 300;

/// Pattern: a storm of refusals. The volume stays under 1 MB a minute, and other events are still
/// written.
#[test]
fn storm_of_one_event_is_bounded_and_hides_no_other() {
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

/// Guards against a sample that leaves out nearly all requests, or hardly any.
#[test]
fn sample_takes_a_small_part_of_the_requests() {
    let sampled = (0..64_000_u32)
        .filter(|n| logs::sampled(format!("{:016x}", n.wrapping_mul(2_654_435_761)).as_bytes()))
        .count();
    assert!((500..2000).contains(&sampled), "{sampled} of 64000");
}
