//! Tests of the pace of statements to a member that is slow after its start.

use std::time::Duration;

use magnoliahatch_gateway::policy::cold_start::ColdStart;
use magnoliahatch_gateway::policy::cold_start::Pace;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Printed by proptest on a failure; fixed so that CI returns the same verdict each time.
const SEED: u64 = 20_261_204;
/// Rate of a cold member over all hosts, in statements a second.
const RATE: f64 = 20.0;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a limit that stays when a member is warm.
#[test]
fn warm_member_has_no_limit() {
    let mut start = ColdStart::default();
    start.set(Some(RATE), true, millis(0));
    start.set(None, true, millis(1));
    assert!((0..1000).all(|_| start.take(millis(1)) == Pace::Send));
}

/// Guards against a host that adds its own statements to those of the member's home.
#[test]
fn only_the_home_uses_a_cold_member() {
    let mut start = ColdStart::default();
    start.set(Some(RATE), false, millis(0));
    assert_eq!(start.take(millis(60_000)), Pace::Never);
}

/// Guards against a wait without an end: a statement that waits as it was told may be sent.
#[test]
fn wait_ends_with_a_token() {
    let mut start = ColdStart::default();
    start.set(Some(RATE), true, millis(0));
    let Pace::Wait(left) = start.take(millis(0)) else {
        panic!("a new limit starts empty");
    };
    assert_eq!(start.take(left), Pace::Send);
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Pattern: many callers at once while two hosts take themselves for the home of a member that
    /// has just started. Guards against more statements in a second than half above its rate.
    #[test]
    fn two_homes_stay_within_the_overage(gaps in prop::collection::vec(0_u64..30, 1..400)) {
        let mut homes = [ColdStart::default(), ColdStart::default()];
        let mut now = 0;
        let mut sent: Vec<u64> = Vec::new();
        for gap in gaps {
            now += gap;
            for home in &mut homes {
                home.set(Some(RATE), true, millis(now));
                if home.take(millis(now)) == Pace::Send {
                    sent.push(now);
                }
            }
            let window = sent.iter().filter(|at| **at + 1000 > now).count();
            assert!(window as f64 <= RATE * 1.5 + 5.0, "{window} in a second");
        }
    }
}
