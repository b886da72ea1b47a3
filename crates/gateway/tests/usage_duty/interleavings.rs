//! Random interleavings of steps, faults and time.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::SETTINGS;

const SEED: u64 = 20_261_206;
const HOSTS: usize = 3;
/// Time after the last fault in which the duty is taken over and all windows are reported.
const RECOVERY_TIME: Duration = Duration::from_secs(120);
const STEP: Duration = Duration::from_millis(100);

#[derive(Debug, Clone)]
enum Event {
    Step(usize, Delivery, Duration),
    /// Lets all hosts take steps without a fault for a while.
    Run(Duration),
    Advance(Duration),
    Restart(usize),
    Stop(usize),
    Pause(usize, Duration),
    Unregister(usize, bool),
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Done),
        2 => Just(Delivery::AnswerLost),
        2 => Just(Delivery::Delayed),
        1 => Just(Delivery::Lost),
    ]
}

fn millis(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..HOSTS, delivery(), millis(1..1500)).prop_map(|(h, d, t)| Event::Step(h, d, t)),
        6 => millis(100..9000).prop_map(Event::Run),
        6 => millis(1..700).prop_map(Event::Advance),
        1 => (0..HOSTS).prop_map(Event::Restart),
        1 => (0..HOSTS).prop_map(Event::Stop),
        2 => (0..HOSTS, millis(100..12_000)).prop_map(|(h, t)| Event::Pause(h, t)),
        2 => (0..HOSTS, any::<bool>()).prop_map(|(h, u)| Event::Unregister(h, u)),
    ]
}

fn run_all(fleet: &mut Fleet, time: Duration) {
    let end = fleet.now + time;
    while fleet.now < end {
        for host in 0..HOSTS {
            fleet.step(host, Delivery::Done, Duration::from_millis(5));
        }
        fleet.advance(STEP);
    }
}

fn apply(fleet: &mut Fleet, event: Event) {
    match event {
        Event::Step(host, delivery, took) => fleet.step(host, delivery, took),
        Event::Run(time) => run_all(fleet, time),
        Event::Advance(time) => fleet.advance(time),
        Event::Restart(host) => fleet.restart(host),
        Event::Stop(host) => fleet.stop(host),
        Event::Pause(host, time) => fleet.pause(host, time),
        Event::Unregister(host, removed) => fleet.unregistered[host] = removed,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a window with two different counts, tokens that decrease or that two hosts
    /// share, and holders that alternate within a lease; and against a duty that nobody holds once
    /// the faults are over.
    #[test]
    fn faults_break_no_rule_and_the_duty_goes_on(events in prop::collection::vec(event(), 1..120)) {
        let mut fleet = Fleet::new(HOSTS);
        for event in events {
            apply(&mut fleet, event);
        }
        let checked = fleet.platform.check(SETTINGS.lease);
        prop_assert!(checked.is_ok(), "{checked:?}");
        // Processes that were stopped are started again.
        for host in 0..HOSTS {
            fleet.unregistered[host] = false;
            fleet.restart(host);
        }
        run_all(&mut fleet, RECOVERY_TIME);
        let checked = fleet.platform.check(SETTINGS.lease);
        prop_assert!(checked.is_ok(), "{checked:?}");
        prop_assert_eq!(fleet.holders(), 1);
        let calls = &fleet.platform.calls;
        let windows: Vec<u64> = calls.iter().map(|c| c.report.window).collect();
        let last = windows.last().copied().unwrap_or_default();
        let closed = fleet.now.as_secs() / SETTINGS.window.as_secs() - 20;
        prop_assert!(last + 2 >= closed, "{last} of {closed}");
        prop_assert!((1..=last).all(|w| windows.contains(&w)), "a window is missing: {windows:?}");
    }
}
