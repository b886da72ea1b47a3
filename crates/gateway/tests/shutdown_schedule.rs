//! Tests of how long a host that is stopped waits for its clients.

use std::time::Duration;

use magnoliahatch_gateway::policy::shutdown_schedule::OpenWork;
use magnoliahatch_gateway::policy::shutdown_schedule::ShutdownSchedule;
use proptest::prelude::*;

/// Time in which an answer that a member has given reaches the client, as a fraction of the grace period.
const DELIVERY_FRACTION: f64 = 0.05;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(14), ..Default::default() })]

    /// Guards against a stop that ends answers which members give before the last sixth of the grace
    /// period (review/14), or transactions in its first half, and against one that is killed.
    #[test]
    fn stop_leaves_the_time_of_the_contract(signalled_ms in 0_u64..100_000, grace_ms in 500_u64..120_000) {
        let signalled = Duration::from_millis(signalled_ms);
        let grace = Duration::from_millis(grace_ms);
        let schedule = ShutdownSchedule::new(signalled, grace);
        prop_assert!(schedule.serve < schedule.transactions);
        prop_assert!(schedule.transactions >= signalled + grace / 2);
        let running = OpenWork { sessions: 1, statements: 1 };
        let protected = signalled + grace * 5 / 6 + grace.mul_f64(DELIVERY_FRACTION);
        prop_assert!(!schedule.may_end(protected, running));
        prop_assert!(schedule.may_end(signalled + grace.mul_f64(0.95), running));
    }
}

/// Guards against a stop that takes its whole time although nothing is left to answer, which delays the
/// restart of the host.
#[test]
fn stop_does_not_wait_for_the_grace_period_without_work() {
    let grace = Duration::from_secs(6);
    let schedule = ShutdownSchedule::new(Duration::ZERO, grace);
    let idle = OpenWork {
        sessions: 1,
        statements: 0,
    };
    assert!(schedule.may_end(Duration::ZERO, OpenWork::default()));
    assert!(!schedule.may_end(grace / 2, idle));
    assert!(schedule.may_end(grace * 5 / 6, idle));
}
