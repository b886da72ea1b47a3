//! Load patterns of one organisation through several hosts.

use std::time::Duration;

use crate::fleet::Count;
use crate::fleet::Fleet;

const SECOND: Duration = Duration::from_secs(1);

/// Refusals of the highest priority that the design page allows, for each refusal of the lowest.
const ALLOWED: f64 = 0.1;

fn assert_ranked(counts: [Count; 3], what: &str) {
    let [highest, _, lowest] = counts.map(|c| c.refused_share());
    assert!(
        highest <= ALLOWED * lowest,
        "{what}: {highest} of the highest priority refused, {lowest} of the lowest"
    );
}

/// Three priorities at twice the rate: the highest must hardly be refused.
#[test]
fn three_priorities_at_twice_the_rate() {
    for hosts in [1, 7, 60, 195] {
        for rate in [10.0, 50.0, 200.0] {
            let mut fleet = Fleet::new(hosts, rate, rate);
            let demand = [0.4 * rate, 0.8 * rate, 0.8 * rate];
            fleet.run(demand, 2 * SECOND);
            let counts = fleet.run(demand, 20 * SECOND);
            let what = format!("{hosts} hosts, {rate}/s, {counts:?}");
            assert_ranked(counts, &what);
            assert!(
                counts[1].refused_share() < counts[2].refused_share(),
                "the middle priority was not preferred to the lowest: {what}"
            );
        }
    }
}

/// Messages between the hosts and the owner take up to 30 ms each way. Guards against operations that
/// each request the same expected tokens while an answer is under way.
#[test]
fn distant_owner() {
    for delay in [1, 10, 30] {
        for hosts in [1, 7, 60] {
            let mut fleet = Fleet::new(hosts, 50.0, 50.0);
            fleet.delay = Duration::from_millis(delay);
            let demand = [30.0, 185.0, 185.0];
            fleet.run(demand, 2 * SECOND);
            let counts = fleet.run(demand, 20 * SECOND);
            assert_ranked(counts, &format!("{delay} ms, {hosts} hosts, {counts:?}"));
        }
    }
}

/// An organisation suddenly sends eight times its rate, of which the highest priority is 10%. The
/// first second of the change counts as well.
#[test]
fn sudden_demand_of_eight_times_the_rate() {
    for hosts in [7, 60, 195] {
        for rate in [25.0, 100.0] {
            let mut fleet = Fleet::new(hosts, rate, rate);
            fleet.run([0.06 * rate, 0.3 * rate, 0.3 * rate], 5 * SECOND);
            let counts = fleet.run([0.8 * rate, 3.6 * rate, 3.6 * rate], 10 * SECOND);
            assert_ranked(counts, &format!("{hosts} hosts, {rate}/s, {counts:?}"));
        }
    }
}

/// The highest priority alone exceeds the rate (15% of eight times the rate): it must get almost all
/// tokens, which some of its operations cannot get in any case.
#[test]
fn highest_priority_above_the_rate_gets_nearly_all() {
    for hosts in [7, 60, 195] {
        let mut fleet = Fleet::new(hosts, 50.0, 50.0);
        let demand = [60.0, 170.0, 170.0];
        fleet.run(demand, 2 * SECOND);
        let counts = fleet.run(demand, 20 * SECOND);
        let others = counts[1].served() + counts[2].served();
        assert!(
            counts[0].served() >= 20 * others,
            "{hosts} hosts: {counts:?}"
        );
    }
}

/// The limit is lowered to a quarter while the demand stays.
#[test]
fn lowered_limit() {
    for hosts in [7, 60] {
        let mut fleet = Fleet::new(hosts, 200.0, 200.0);
        let demand = [24.0, 68.0, 68.0];
        fleet.run(demand, 5 * SECOND);
        fleet.rate.per_second = 50.0;
        fleet.rate.burst = 50.0;
        let counts = fleet.run(demand, 15 * SECOND);
        assert_ranked(counts, &format!("{hosts} hosts, {counts:?}"));
    }
}

/// After a start the bucket is empty and no demand is known. The first three seconds count.
#[test]
fn first_seconds_after_a_start() {
    for hosts in [7, 60] {
        let mut fleet = Fleet::new(hosts, 100.0, 100.0);
        let counts = fleet.run([15.0, 120.0, 120.0], 3 * SECOND);
        assert_ranked(counts, &format!("{hosts} hosts, {counts:?}"));
    }
}

/// Without operations of a higher priority nothing may be reserved.
#[test]
fn all_of_the_lowest_priority_get_the_whole_rate() {
    for hosts in [1, 7, 60] {
        let mut fleet = Fleet::new(hosts, 50.0, 50.0);
        let demand = [0.0, 0.0, 400.0];
        fleet.run(demand, 2 * SECOND);
        let counts = fleet.run(demand, 20 * SECOND);
        assert!(!fleet.table.is_reserving("org"));
        assert!(
            counts[2].served() >= 980,
            "{hosts} hosts served {} of 1000 tokens",
            counts[2].served()
        );
    }
}

/// Demand a little above the rate: the reserve must not leave so much in the bucket that refill is
/// lost. The bound is a choice: nine tenths of what an organisation gets in order of arrival.
#[test]
fn reserve_costs_few_tokens() {
    for hosts in [1, 7, 60] {
        for (rate, demand) in [
            (5.0, [0.75, 2.0, 4.0]),
            (10.0, [1.5, 4.0, 7.0]),
            (50.0, [5.0, 30.0, 30.0]),
            (50.0, [38.0, 181.0, 181.0]),
        ] {
            let served = [false, true].map(|ranked| {
                let mut fleet = Fleet::new(hosts, rate, rate);
                fleet.ranked = ranked;
                fleet.run(demand, 5 * SECOND);
                let counts = fleet.run(demand, 60 * SECOND);
                counts.iter().map(Count::served).sum::<u32>()
            });
            assert!(
                f64::from(served[1]) >= 0.9 * f64::from(served[0]),
                "{hosts} hosts, {rate}/s: {served:?} served in order of arrival and by priority"
            );
        }
    }
}

/// Urgent demand ends: within the two seconds of the window nothing may be reserved any more. It
/// returns: after the same time it must be preferred again.
#[test]
fn change_of_the_mix() {
    let mut fleet = Fleet::new(20, 50.0, 50.0);
    fleet.run([25.0, 50.0, 50.0], 5 * SECOND);
    assert!(fleet.table.is_reserving("org"));
    fleet.run([0.0, 0.0, 150.0], Duration::from_millis(2300));
    assert!(!fleet.table.is_reserving("org"));
    let counts = fleet.run([0.0, 0.0, 150.0], 5 * SECOND);
    assert!(counts[2].served() >= 240, "{counts:?}");
    fleet.run([25.0, 0.0, 150.0], SECOND);
    let counts = fleet.run([25.0, 0.0, 150.0], 10 * SECOND);
    assert_ranked(counts, &format!("{counts:?}"));
}

/// Demand within the rate: no operation may be refused for the sake of a higher priority.
#[test]
fn nothing_is_reserved_within_the_rate() {
    for hosts in [1, 7, 60, 195] {
        for rate in [20.0, 100.0] {
            let mut fleet = Fleet::new(hosts, rate, rate);
            let demand = [0.09 * rate, 0.25 * rate, 0.26 * rate];
            fleet.run(demand, 5 * SECOND);
            let counts = fleet.run(demand, 20 * SECOND);
            let refused: u32 = counts.iter().map(|c| c.refused).sum();
            let arrived: u32 = counts.iter().map(|c| c.arrived).sum();
            assert!(
                f64::from(refused) < 0.002 * f64::from(arrived),
                "{hosts} hosts, {rate}/s: {counts:?}"
            );
        }
    }
}
