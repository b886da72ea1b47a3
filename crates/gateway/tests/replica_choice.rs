//! Tests of the choice of a member for a read by the reports of the members' homes.

use std::time::Duration;

use magnoliahatch_gateway::model::member_load::MemberLoad;
use magnoliahatch_gateway::policy::replica_choice::Distance;
use magnoliahatch_gateway::policy::replica_choice::HomeReport;
use magnoliahatch_gateway::policy::replica_choice::ReadCandidate;
use magnoliahatch_gateway::policy::replica_choice::choose;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_206;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A member with 2 slots of which this host only knows its own figures.
fn unreported(distance: Distance, latency: u64, pending: u32) -> ReadCandidate {
    ReadCandidate {
        distance,
        primary: false,
        cold: false,
        slots: 2,
        latency: millis(latency),
        pending,
        report: None,
    }
}

/// A member whose home has accepted `accepted` statements and sends at most 4 at a time.
fn reported(distance: Distance, read: u64, accepted: u16) -> ReadCandidate {
    let load = MemberLoad {
        running: accepted.min(4),
        waiting: accepted.saturating_sub(4),
        window: 4,
        read: Some(millis(read)),
        opening: false,
        slow: false,
    };
    let report = Some(HomeReport {
        load,
        sent_since: 0,
    });
    ReadCandidate {
        report,
        ..unreported(distance, 15, 0)
    }
}

/// A member that restarted and whose home sends it at most `window` statements.
fn opening(window: u16, accepted: u16) -> ReadCandidate {
    let mut candidate = reported(Distance::SameDataCentre, 5, accepted);
    if let Some(report) = &mut candidate.report {
        report.load.window = window;
        report.load.opening = true;
    }
    candidate
}

/// How many of 64 requests each candidate gets.
fn shares(choices: &[ReadCandidate]) -> Vec<usize> {
    let mut counts = vec![0; choices.len()];
    for spread in 0..64 {
        counts[choose(choices, spread).expect("there is a candidate")] += 1;
    }
    counts
}

/// A host that sends few reads must not join others at a member whose queue it cannot see itself, and
/// must not forget what only it can see, such as a home that is busy.
#[test]
fn reports_raise_own_figures() {
    let near = Distance::SameDataCentre;
    // By the host's own figures the first one would be chosen.
    let mut busy = reported(near, 10, 12);
    busy.latency = millis(2);
    assert_eq!(shares(&[busy, reported(near, 10, 1)]), [0, 64]);
    assert_eq!(shares(&[busy, unreported(near, 30, 0)]), [0, 64]);
    let mut slow_path = reported(near, 10, 0);
    slow_path.latency = millis(80);
    assert_eq!(shares(&[slow_path, reported(near, 10, 4)]), [0, 64]);
    // Without reports nothing changes.
    let unequal = [unreported(near, 10, 3), unreported(near, 30, 0)];
    assert_eq!(shares(&unequal), [0, 64]);
    let equal = [unreported(near, 10, 0), unreported(near, 10, 0)];
    assert_eq!(shares(&equal), [64, 0]);
    // A home that has not measured a read tells nothing about its time.
    let mut unmeasured = reported(near, 10, 12);
    if let Some(report) = &mut unmeasured.report {
        report.load.read = None;
    }
    assert_eq!(shares(&[unmeasured, unreported(near, 30, 0)]), [64, 0]);
}

/// Traffic between data centres is charged for, whatever the loads are.
#[test]
fn distance_still_costs() {
    let (near, far) = (Distance::SameDataCentre, Distance::SameRegion);
    let waiting = reported(near, 10, 3);
    assert_eq!(shares(&[waiting, reported(far, 10, 0)]), [64, 0]);
    // 12 statements at two a time are 65 ms; the other one takes 15 ms and costs 40.
    let busy = reported(near, 10, 12);
    assert_eq!(shares(&[busy, reported(far, 10, 0)]), [0, 64]);
    let other = Distance::OtherRegion;
    assert_eq!(shares(&[busy, reported(other, 10, 0)]), [64, 0]);
}

/// The primary is not used for reads because of a small difference.
#[test]
fn primary_still_costs() {
    let near = Distance::SameDataCentre;
    let mut primary = reported(near, 10, 0);
    primary.primary = true;
    assert_eq!(shares(&[primary, reported(near, 10, 3)]), [0, 64]);
}

/// A member that restarted must not get the reads that others can run; but its window opens only by
/// answers.
#[test]
fn opening_member_is_avoided_while_another_has_room() {
    let near = Distance::SameDataCentre;
    let counts = shares(&[opening(1, 0), reported(near, 10, 1)]);
    assert!((1..=8).contains(&counts[0]), "{counts:?}");
    // Another data centre is preferred to it, another region is not.
    let counts = shares(&[opening(1, 0), reported(Distance::SameRegion, 10, 0)]);
    assert!((1..=8).contains(&counts[0]), "{counts:?}");
    let counts = shares(&[opening(1, 0), reported(Distance::OtherRegion, 10, 0)]);
    assert_eq!(counts, [64, 0]);
    // The other one has no room.
    assert_eq!(shares(&[opening(2, 1), reported(near, 10, 4)]), [64, 0]);
}

/// Requests that a host sent after the last report count as well, or it would send a burst to one member.
#[test]
fn burst_of_one_host_is_spread() {
    let near = Distance::SameDataCentre;
    let mut members = [reported(near, 10, 0), reported(near, 10, 0)];
    for spread in 0..40 {
        let chosen = choose(&members, spread * 7).expect("there is a candidate");
        members[chosen].pending += 1;
        if let Some(report) = &mut members[chosen].report {
            report.sent_since += 1;
        }
    }
    let sent = members.map(|m| m.report.map_or(0, |r| r.sent_since));
    assert!(sent.iter().all(|n| (16..=24).contains(n)), "{sent:?}");
}

/// The load is sent with each outcome, so it must stay a few bytes.
#[test]
fn load_is_small() {
    let load = MemberLoad {
        running: 10,
        waiting: 200,
        window: 10,
        read: Some(Duration::from_micros(123_456)),
        opening: true,
        slow: true,
    };
    let size = postcard::to_allocvec(&load)
        .expect("it can be encoded")
        .len();
    assert!(size <= 16, "{size} bytes");
}

proptest! {
    #![proptest_config(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whatever is reported, a member is chosen, and its cost is at most what avoiding an opening member
    /// allows above the lowest one.
    #[test]
    fn chosen_member_is_near_the_best(
        members in prop::collection::vec((1_u64..200, 0_u16..40, 0_u8..4, any::<bool>()), 1..6),
        spread in any::<u64>(),
    ) {
        let choices: Vec<ReadCandidate> = members
            .iter()
            .map(|(read, accepted, kind, far)| {
                let distance = if *far { Distance::SameRegion } else { Distance::SameDataCentre };
                match kind {
                    0 => unreported(distance, *read, u32::from(*accepted)),
                    1 => opening(1, *accepted),
                    _ => reported(distance, *read, *accepted),
                }
            })
            .collect();
        let chosen = choose(&choices, spread).expect("there is a candidate");
        let lowest = choices.iter().map(ReadCandidate::cost).min().expect("there is one");
        let allowed = lowest + millis(50);
        assert!(choices[chosen].cost() <= allowed, "{:?} of {lowest:?}", choices[chosen].cost());
    }
}
