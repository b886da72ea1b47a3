//! Tests of the share of a rate that its owner grants while some hosts are silent.

use std::time::Duration;

use magnoliahatch_gateway::policy::requesting_hosts::RequestingHosts;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Many hosts that each serve an organisation only occasionally. Their silence must not reduce the
/// rate for the others; when it did, 18% of the requests of a day with low load were refused.
#[test]
fn hosts_with_few_requests_do_not_reduce_the_rate() {
    let mut callers = RequestingHosts::default();
    for round in 0..20_u64 {
        for host in 0..60_u64 {
            let time = round * 3000 + host * 50;
            callers.record(&format!("h{host}"), at(time));
        }
    }
    let share = callers.share(60, at(62_000));
    assert!((share - 1.0).abs() < 1e-9, "share {share}");
}

/// A partition cuts off a third of the hosts while an organisation exceeds its rate. These hosts
/// use their own share, so the owner must not grant it as well.
#[test]
fn share_of_busy_hosts_that_fall_silent_is_not_granted() {
    let mut callers = RequestingHosts::default();
    for time in (0..5000).step_by(50) {
        for host in 0..9 {
            callers.record(&format!("h{host}"), at(time));
        }
    }
    for time in (5000..8000).step_by(50) {
        for host in 0..6 {
            callers.record(&format!("h{host}"), at(time));
        }
    }
    let share = callers.share(9, at(8000));
    assert!((share - 6.0 / 9.0).abs() < 1e-9, "share {share}");
    for host in 6..9 {
        callers.record(&format!("h{host}"), at(8010));
    }
    let share = callers.share(9, at(8020));
    assert!((share - 1.0).abs() < 1e-9, "share {share}");
}
