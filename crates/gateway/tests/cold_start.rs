//! Tests of the rate limit for statements to a cold member, which is slow after its start.

use std::time::Duration;

use magnoliahatch_gateway::policy::cold_start::ColdStartLimiter;
use magnoliahatch_gateway::policy::cold_start::SendDecision;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_204;
/// Rate of a cold member for all hosts together, in statements per second.
const RATE: f64 = 20.0;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// The limit must be removed once the member is no longer cold.
#[test]
fn member_that_is_not_cold_has_no_limit() {
    let mut limiter = ColdStartLimiter::default();
    limiter.set_rate(Some(RATE), true, millis(0));
    limiter.set_rate(None, true, millis(1));
    assert!((0..1000).all(|_| limiter.take(millis(1)) == SendDecision::Send));
}

/// Hosts other than the member's home host must not send statements to a cold member.
#[test]
fn only_the_home_host_uses_a_cold_member() {
    let mut limiter = ColdStartLimiter::default();
    limiter.set_rate(Some(RATE), false, millis(0));
    assert_eq!(limiter.take(millis(60_000)), SendDecision::Refuse);
}

/// A statement that waits for the returned time must be sent; otherwise it could wait forever.
#[test]
fn wait_ends_with_a_token() {
    let mut limiter = ColdStartLimiter::default();
    limiter.set_rate(Some(RATE), true, millis(0));
    let SendDecision::Wait(left) = limiter.take(millis(0)) else {
        panic!("a new limit starts without tokens");
    };
    assert_eq!(limiter.take(left), SendDecision::Send);
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Many clients at once while two hosts both consider themselves the home of a cold member. The
    /// statements within a second must not exceed the member's rate by more than half.
    #[test]
    fn two_home_hosts_stay_within_the_limit(gaps in prop::collection::vec(0_u64..30, 1..400)) {
        let mut homes = [ColdStartLimiter::default(), ColdStartLimiter::default()];
        let mut now = 0;
        let mut sent: Vec<u64> = Vec::new();
        for gap in gaps {
            now += gap;
            for home in &mut homes {
                home.set_rate(Some(RATE), true, millis(now));
                if home.take(millis(now)) == SendDecision::Send {
                    sent.push(now);
                }
            }
            let window = sent.iter().filter(|at| **at + 1000 > now).count();
            assert!(window as f64 <= RATE * 1.5 + 5.0, "{window} statements in a second");
        }
    }
}
