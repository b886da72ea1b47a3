//! Tests of the pauses between calls that fail.

use std::time::Duration;

use magnoliahatch_gateway::policy::backoff::Backoff;

/// Pattern: the store turns a host away for seconds while it serves others. Guards against a host
/// that spends the store's rate on calls that are refused.
#[test]
fn refused_host_calls_less_and_less() {
    let mut backoff = Backoff::default();
    let mut calls = 0;
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(9) {
        now += backoff.on_failure(0.5);
        calls += 1;
    }
    assert!(calls <= 12, "{calls} calls in nine seconds");
}

/// Guards against a long pause after a single lost answer, and against hosts that call together.
#[test]
fn first_pause_is_short_and_varies() {
    let mut backoff = Backoff::default();
    let first = backoff.on_failure(0.0);
    assert!(first <= Duration::from_millis(150));
    assert!(backoff.on_success());
    assert!(!backoff.is_failing());
    assert!(backoff.on_failure(1.0) > first);
    backoff.on_success();
    assert_eq!(backoff.on_failure(0.0), first);
}
