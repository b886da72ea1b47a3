//! Tests of the exponential backoff.

use std::time::Duration;

use magnoliahatch_gateway::policy::backoff::Backoff;

/// The store refuses one host's calls for seconds while it serves others. The host must not use up
/// the store's rate limit with calls that are refused.
#[test]
fn pauses_grow_while_calls_are_refused() {
    let mut backoff = Backoff::default();
    let mut calls = 0;
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(9) {
        now += backoff.on_failure(0.5);
        calls += 1;
    }
    assert!(calls <= 12, "{calls} calls in nine seconds");
}

/// The first pause must be short, so that a single lost answer costs little, and must vary, so that
/// hosts do not retry at the same moment.
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
