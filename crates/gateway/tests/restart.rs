//! Tests of the rate limits right after a restart of the whole system.

use std::time::Duration;

use magnoliahatch_gateway::model::configuration::Rate;
use magnoliahatch_gateway::policy::bounds::RateBounds;
use magnoliahatch_gateway::policy::quota::QuotaTable;
use magnoliahatch_gateway::policy::restart;
use magnoliahatch_gateway::policy::restart::ProcessState::Ended;
use magnoliahatch_gateway::policy::restart::ProcessState::Running;
use magnoliahatch_gateway::policy::restart::ProcessState::Silent;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_204;
const BOUNDS: RateBounds = RateBounds {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A process that starts alone, or together with only some of the others, must not conclude that
/// the whole system has restarted: the other processes have granted the rate until now.
#[test]
fn one_older_process_means_no_restart_of_the_whole_system() {
    let young = [Running(millis(300)), Running(millis(10))];
    assert!(restart::started_together(millis(60), &young));
    let old = [Running(millis(300)), Running(millis(60_000))];
    assert!(!restart::started_together(millis(60), &old));
    assert!(!restart::started_together(millis(60_000), &[]));
    assert!(restart::started_together(millis(60), &[]));
}

/// Hosts are stopped and started in turn: most are stopping or just gone when one starts. Guards
/// against a host that takes their silence for a restart of the whole system and grants a second
/// burst (review, QUOTA). A power loss, after which other processes run, is one.
#[test]
fn silent_hosts_mean_no_restart_of_the_whole_system() {
    let rolling = [Silent, Silent, Running(millis(900))];
    assert!(!restart::started_together(millis(60), &rolling));
    assert!(!restart::started_together(millis(60), &[Silent]));
    let power_loss = [Ended, Ended, Silent, Running(millis(90))];
    assert!(restart::started_together(millis(60), &power_loss));
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// All hosts lose power twice within seconds, and all clients return at once. No window may
    /// contain more operations than the contract allows.
    #[test]
    fn two_restarts_stay_within_the_allowed_excess(
        per_second in 5.0_f64..400.0,
        burst in 5.0_f64..400.0,
        first in 0_u64..4000,
        pause in 0_u64..3000,
    ) {
        let rate = Rate { per_second, burst };
        let mut table = QuotaTable::default();
        table.fill("org", rate, burst, millis(0));
        let restarts = [first, first + pause];
        let mut ran = 0_u32;
        for now in (0..5000).step_by(10) {
            if restarts.iter().any(|at| at / 10 == now / 10) {
                table = QuotaTable::default();
                let tokens = restart::initial_tokens(rate, &BOUNDS);
                table.fill("org", rate, tokens, millis(now));
            }
            ran += table.take("org", rate, 1.0, 50, millis(now));
        }
        let window = per_second * 5.0 + burst;
        let allowed = window * (1.0 + BOUNDS.overage) + BOUNDS.slack;
        assert!(f64::from(ran) <= allowed, "{ran} operations ran, {allowed} are allowed");
    }
}
