//! Tests of the time that an aggregator takes for the true one.

use std::time::Duration;

use magnoliahatch_gateway::policy::clock_median::ClockMedian;
use magnoliahatch_gateway::policy::sender_clock::SenderClock;

const NOW: Duration = Duration::from_secs(500);
const TRUE_LEAD: Duration = Duration::from_secs(1_700_000_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against windows that are shifted by the wrong clocks of some hosts, whichever way they are
/// wrong.
#[test]
fn wrong_clocks_of_a_minority_do_not_shift_the_time() {
    let hour = Duration::from_secs(3600);
    for wrong in [[NOW + TRUE_LEAD + hour; 3], [Duration::ZERO; 3]] {
        let mut clocks = ClockMedian::default();
        for (index, wall) in wrong.into_iter().enumerate() {
            clocks.on_clock(&format!("wrong-{index}"), wall, NOW);
        }
        for index in 0..4 {
            let wall = NOW + TRUE_LEAD + millis(index);
            clocks.on_clock(&format!("right-{index}"), wall, NOW);
        }
        let lead = clocks.lead(NOW).expect("clocks");
        assert!(
            lead >= TRUE_LEAD && lead <= TRUE_LEAD + millis(3),
            "{lead:?}"
        );
    }
}

/// Guards against a host's former clock that counts for ever after it jumped or its host was lost.
#[test]
fn only_the_latest_reading_of_the_last_seconds_counts() {
    let mut clocks = ClockMedian::default();
    assert_eq!(clocks.lead(NOW), None);
    clocks.on_clock("host-0", NOW, NOW);
    clocks.on_clock("host-0", NOW + TRUE_LEAD, NOW);
    assert_eq!((clocks.count(NOW), clocks.lead(NOW)), (1, Some(TRUE_LEAD)));
    let later = NOW + Duration::from_secs(11);
    assert_eq!((clocks.count(later), clocks.lead(later)), (0, None));
}

/// Guards against counts that move to a later window because their message waited, in the network or
/// while this process was suspended.
#[test]
fn delayed_message_does_not_shift_its_times() {
    let mut clock = SenderClock::default();
    let sent = |tick: u64| millis(9_000_000 + 250 * tick);
    let received = |tick: u64, delay: u64| NOW + millis(250 * tick + delay);
    clock.on_message(sent(0), received(0, 40));
    clock.on_message(sent(1), received(1, 2));
    for (tick, delay) in [(2, 3000), (3, 2750), (4, 2500), (5, 30)] {
        clock.on_message(sent(tick), received(tick, delay));
        assert_eq!(clock.convert(sent(tick)), received(tick, 2));
    }
}
