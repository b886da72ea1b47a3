//! Tests of the limits on the gateway's own retries.

use std::time::Duration;

use magnoliahatch_gateway::model::error_code::ErrorCode;
use magnoliahatch_gateway::model::outcome::Cause;
use magnoliahatch_gateway::model::outcome::failure;
use magnoliahatch_gateway::policy::retry_budgets::RetryBudgets;
use magnoliahatch_gateway::policy::retry_budgets::is_free;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_206;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Retries at one member must not use up the budget at another, nor that of another organisation.
#[test]
fn budgets_are_separate_by_member_and_organisation() {
    let mut budgets = RetryBudgets::default();
    let exhausted = |budgets: &mut RetryBudgets, member: &str, organisation: &str| {
        (0..100)
            .filter(|_| budgets.on_retry(member, organisation, seconds(1)))
            .count()
    };
    assert_eq!(exhausted(&mut budgets, "m1", "a"), 10);
    assert_eq!(exhausted(&mut budgets, "m2", "a"), 10);
    assert_eq!(exhausted(&mut budgets, "m1", "b"), 10);
    assert_eq!(exhausted(&mut budgets, "m1", "a"), 0);
}

/// A member that answers allows a tenth of its answers as retries that fail; one that does not answer
/// allows one a second.
#[test]
fn successes_allow_retries() {
    let mut budgets = RetryBudgets::default();
    while budgets.on_retry("m", "a", seconds(1)) {}
    for _ in 0..50 {
        budgets.on_success("m", "a", false);
    }
    let retries = (0..100).filter(|_| budgets.on_retry("m", "a", seconds(1)));
    assert!((4..=5).contains(&retries.count()));
    let later = (0..100).filter(|_| budgets.on_retry("m", "a", seconds(5)));
    assert_eq!(later.count(), 4);
}

/// One replica refuses all reads while another answers them: they must go on to be served by the
/// other one, for any time.
#[test]
fn retries_that_succeed_use_up_nothing() {
    let mut budgets = RetryBudgets::default();
    for _ in 0..1000 {
        assert!(budgets.on_retry("m", "a", seconds(1)));
        budgets.on_success("m", "a", true);
    }
}

/// Members come and go under new names: budgets without retries must not stay in memory.
#[test]
fn unused_budgets_are_removed() {
    let mut budgets = RetryBudgets::default();
    for number in 0..100 {
        budgets.on_success(&format!("m{number}"), "a", false);
        budgets.on_retry(&format!("n{number}"), "a", seconds(1));
    }
    assert_eq!(budgets.count(), 100);
    budgets.on_retry("m", "a", seconds(62));
    assert_eq!(budgets.count(), 1);
}

/// The retry that replaces an attempt that reached no member must stay possible while the budget is
/// exhausted; later ones, and those after a statement was sent, must be charged.
#[test]
fn only_retries_without_load_are_free() {
    let cases = [
        (ErrorCode::Busy, Cause::Connection, 1, true),
        (ErrorCode::Busy, Cause::Connection, 2, false),
        (ErrorCode::Busy, Cause::Peer, 1, true),
        (ErrorCode::Busy, Cause::Peer, 2, false),
        (ErrorCode::Busy, Cause::NoMember, 1, true),
        (ErrorCode::TooLarge, Cause::Peer, 3, true),
        (ErrorCode::Aborted, Cause::Primary, 3, true),
        (ErrorCode::Aborted, Cause::Connection, 1, false),
        (ErrorCode::Aborted, Cause::Reply, 1, false),
        (ErrorCode::Lagging, Cause::Member, 2, true),
        (ErrorCode::Lagging, Cause::Floor, 2, true),
        (ErrorCode::Busy, Cause::Member, 1, false),
        (ErrorCode::Unknown, Cause::Connection, 1, false),
        (ErrorCode::Unknown, Cause::Member, 1, false),
    ];
    for (code, cause, attempts, expected) in cases {
        let free = is_free(&failure(code, cause), attempts);
        assert_eq!(free, expected, "{code:?} {cause:?} after {attempts}");
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Retries that fail stay a tenth of the successes, beside ten at once and one a second, for any
    /// order of events. The first value of an event says whether it is a first attempt, the second
    /// whether it succeeds.
    #[test]
    fn failed_retries_are_bounded(
        events in proptest::collection::vec((any::<bool>(), any::<bool>(), 0_u64..500), 1..500),
    ) {
        let mut budgets = RetryBudgets::default();
        let (mut now, mut successes, mut failed) = (0, 0, 0);
        for (first, success, pause) in events {
            // The budgets are not removed: no pause is as long as that.
            now += pause;
            let charged = !first && budgets.on_retry("m", "a", Duration::from_millis(now));
            if success && (first || charged) {
                budgets.on_success("m", "a", charged);
                successes += u32::from(first);
            } else {
                failed += u32::from(charged);
            }
        }
        let allowed = 10.0 + f64::from(successes) * 0.1 + now as f64 / 1000.0;
        prop_assert!(f64::from(failed) <= allowed, "{failed} failed retries, {allowed} allowed");
    }
}
