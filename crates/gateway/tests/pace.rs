//! Tests of the concurrency window of a member, against a simulated member.

mod simulated_member;

use std::time::Duration;

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::pace::AnswerClass;
use magnoliahatch_gateway::policy::pace::Answered;
use magnoliahatch_gateway::policy::pace::Pace;
use magnoliahatch_gateway::policy::pace::WindowCause;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use simulated_member::SimulatedMember;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_206;
/// Answers within which the window of a member with a steady speed must let it run at 0.9 of what it
/// can: 9 until it opens, 8 until it is complete, and once as many again and those in flight (10) after
/// a reduction by chance.
const OPENING_BOUND: usize = 45;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn answered(took: Duration, class: AnswerClass, in_flight: u32) -> Answered {
    Answered {
        kind: StatementKind::Read,
        took,
        class,
        in_flight,
    }
}

/// Sends one statement and answers it after `took`. Returns the time of the answer.
fn answer_one(pace: &mut Pace, took: Duration, class: AnswerClass, now: Duration) -> Duration {
    let in_flight = pace.on_sent(now);
    let answer = answered(took, class, in_flight);
    pace.on_answer(answer, || true, now + took);
    now + took
}

/// A pace that has learned that reads take 10 ms.
fn known(slots: u32) -> (Pace, Duration) {
    let mut pace = Pace::new(slots);
    let mut now = millis(1000);
    for _ in 0..120 {
        now = answer_one(&mut pace, millis(10), AnswerClass::Served, now);
    }
    (pace, now)
}

/// A pace that has learned the times of the simulated member with a mean of 10 ms.
fn simulated(slots: u32) -> (Pace, Duration) {
    let mut pace = Pace::new(slots);
    let mut member = SimulatedMember::new(slots, SEED);
    for _ in 0..300 {
        member.answer(&mut pace, slots, |_| 0.010);
    }
    // The statements that are still running there end with the process.
    while pace.in_flight() > 0 {
        pace.on_unanswered();
    }
    (pace, member.now())
}

/// A pace whose member was silent for 2.5 s and then answered.
fn recovered(slots: u32) -> (Pace, Duration) {
    let (mut pace, mut now) = simulated(slots);
    for _ in 0..6 {
        pace.on_sent(now);
        now += millis(500);
        pace.on_unanswered();
        pace.on_failure(now);
    }
    assert_eq!(pace.on_reached(now), Some(WindowCause::Recovered));
    (pace, now)
}

/// Earlier deployments must be served as before: a member whose answers only spread, with tails of
/// more than seven times the mean, keeps the whole window.
#[test]
fn usual_member_keeps_its_whole_window() {
    for slots in [1, 2, 3, 5] {
        for load in [1, slots, 2 * slots] {
            let mut pace = Pace::new(slots);
            let mut member = SimulatedMember::new(slots, SEED + u64::from(load));
            for _ in 0..20_000 {
                member.answer(&mut pace, load, |_| 0.010);
                assert_eq!(pace.window(), 2 * slots, "slots {slots}, load {load}");
            }
        }
    }
}

/// A restarted member must neither get its whole window at once nor be left idle.
#[test]
fn restarted_member_opens_within_the_bound() {
    for slots in [1, 2, 3, 5] {
        let (pace, now) = simulated(slots);
        let mut pace = pace.on_new_incarnation(slots, now);
        assert_eq!(pace.window(), (slots / 2).max(1));
        assert!(pace.is_opening());
        let mut member = SimulatedMember::starting_at(slots, SEED, now);
        let answers = (0..)
            .take_while(|_| {
                member.answer(&mut pace, 2 * slots, |_| 0.010);
                pace.window() < 2 * slots
            })
            .count();
        assert!(answers <= OPENING_BOUND, "slots {slots}: {answers} answers");
        for _ in 0..OPENING_BOUND {
            member.answer(&mut pace, 2 * slots, |_| 0.010);
        }
        assert!(!pace.is_opening(), "slots {slots}");
    }
}

/// A restarted member that gets few statements must not stay closed to a burst for long.
#[test]
fn restarted_member_opens_under_light_load() {
    let (pace, now) = simulated(4);
    let mut pace = pace.on_new_incarnation(4, now);
    let mut member = SimulatedMember::starting_at(4, SEED, now);
    for _ in 0..OPENING_BOUND {
        member.answer(&mut pace, 1, |_| 0.010);
    }
    assert_eq!(pace.window(), 8);
}

/// A member whose caches warm in 5 s is slow by its baseline, but not because of its load: it must
/// not be left idle meanwhile.
#[test]
fn warming_member_is_used() {
    let (pace, start) = simulated(4);
    let mut pace = pace.on_new_incarnation(4, start);
    let mut member = SimulatedMember::starting_at(4, SEED, start);
    let warming = |now: Duration| {
        let left = 1.0 - now.saturating_sub(start).as_secs_f64() / 5.0;
        0.010 * (1.0 + 4.0 * left.max(0.0))
    };
    let (mut answers, mut full) = (0, 0);
    while member.now() < start + Duration::from_secs(5) {
        member.answer(&mut pace, 8, warming);
        answers += 1;
        full += u32::from(pace.window() >= 4);
    }
    assert!(
        full * 10 >= answers * 9,
        "{full} of {answers} with all slots"
    );
}

/// A member that returns at half its speed is not overloaded, and its slots must be used.
#[test]
fn member_at_half_speed_is_used() {
    let (pace, now) = simulated(4);
    let mut pace = pace.on_new_incarnation(4, now);
    let mut member = SimulatedMember::starting_at(4, SEED, now);
    for _ in 0..OPENING_BOUND {
        member.answer(&mut pace, 8, |_| 0.020);
    }
    for _ in 0..5_000 {
        member.answer(&mut pace, 8, |_| 0.020);
        assert!(pace.window() >= 4, "window {}", pace.window());
    }
}

/// A member that recovers but answers more slowly the more it runs must not get its whole window.
#[test]
fn overloaded_member_is_not_opened_further() {
    let (mut pace, now) = recovered(4);
    let mut member = SimulatedMember::starting_at(4, SEED, now);
    let mut windows = 0;
    for _ in 0..400 {
        // Each statement beyond two makes all of them three times a usual one longer.
        let excess = pace.in_flight().saturating_sub(1);
        member.answer(&mut pace, 8, |_| 0.010 * f64::from(1 + 3 * excess));
        windows += pace.window();
    }
    assert!(
        windows <= 400 * 4,
        "mean window {}",
        f64::from(windows) / 400.0
    );
}

/// A member that is away for 1.3 s at a time has not recovered from an outage, and is served as
/// before.
#[test]
fn flapping_member_keeps_its_window() {
    let (mut pace, mut now) = known(3);
    for _ in 0..20 {
        for _ in 0..3 {
            pace.on_sent(now);
            now += millis(430);
            pace.on_unanswered();
            pace.on_failure(now);
        }
        assert_eq!(pace.on_reached(now), None);
        let end = now + millis(1300);
        while now < end {
            now = answer_one(&mut pace, millis(10), AnswerClass::Served, now);
            assert_eq!(pace.window(), 6);
        }
    }
}

/// Errors of statements are no sign of load, however many there are.
#[test]
fn failed_statements_do_not_shrink_the_window() {
    let (mut pace, mut now) = known(3);
    for _ in 0..500 {
        now = answer_one(&mut pace, millis(10), AnswerClass::Failed, now);
        now = answer_one(&mut pace, millis(1), AnswerClass::Failed, now);
        now = answer_one(&mut pace, millis(90), AnswerClass::NotRun, now);
        assert_eq!(pace.window(), 6);
    }
    // Nor may fast errors change what is usual.
    for _ in 0..30 {
        now = answer_one(&mut pace, millis(12), AnswerClass::Served, now);
        assert_eq!(pace.window(), 6);
    }
}

/// Without answers the window stays as it is, and one failure before a quiet night is no outage at
/// its end.
#[test]
fn quiet_night_changes_nothing() {
    let (mut pace, mut now) = recovered(3);
    now = answer_one(&mut pace, millis(10), AnswerClass::Served, now);
    let window = pace.window();
    now += Duration::from_secs(8 * 3600);
    now = answer_one(&mut pace, millis(10), AnswerClass::NotRun, now);
    assert_eq!(pace.window(), window);

    let (mut pace, known_at) = known(3);
    pace.on_failure(known_at);
    now = now.max(known_at) + Duration::from_secs(8 * 3600);
    pace.on_failure(now);
    now = answer_one(&mut pace, millis(80), AnswerClass::Served, now);
    // The caches are cold in the morning.
    for took in [90, 10, 70, 12, 10, 10] {
        now = answer_one(&mut pace, millis(took), AnswerClass::Served, now);
        assert_eq!(pace.window(), 6);
    }
}

/// A primary that was just promoted runs its first writes, which take longer than its reads.
#[test]
fn promoted_primary_keeps_its_window() {
    let (mut pace, mut now) = known(3);
    for turn in 0..300 {
        let kinds = [
            StatementKind::Read,
            StatementKind::Write,
            StatementKind::Commit,
        ];
        let kind = kinds[turn % 3];
        let took = millis([10, 35, 60][turn % 3]);
        let in_flight = pace.on_sent(now);
        now += took;
        let answer = Answered {
            kind,
            ..answered(took, AnswerClass::Served, in_flight)
        };
        pace.on_answer(answer, || true, now);
        assert_eq!(pace.window(), 6);
    }
}

/// Two hosts may both consider themselves the home for a moment. Each keeps its bound, and what one
/// adds to the other's answer times must not close either window.
#[test]
fn two_homes_both_open() {
    let (pace, now) = simulated(3);
    let mut homes = [
        pace.on_new_incarnation(3, now),
        pace.on_new_incarnation(3, now),
    ];
    let mut members = [
        SimulatedMember::starting_at(3, SEED, now),
        SimulatedMember::starting_at(3, SEED + 1, now),
    ];
    for _ in 0..400 {
        let others = [homes[1].in_flight(), homes[0].in_flight()];
        for (i, home) in homes.iter_mut().enumerate() {
            // The member runs the statements of both.
            let shared = 0.010 * (1.0 + f64::from(others[i]) / 6.0);
            members[i].answer(home, 6, |_| shared);
            assert!(home.window() <= 6 && home.in_flight() <= 6);
        }
    }
    assert!(homes.iter().all(|h| h.window() >= 3));
}

/// After an outage the window opens quickly up to what the same process sustained before.
#[test]
fn recovered_member_opens_again() {
    let (mut pace, now) = recovered(4);
    assert_eq!(pace.window(), 2);
    let mut member = SimulatedMember::starting_at(4, SEED, now);
    for _ in 0..OPENING_BOUND {
        member.answer(&mut pace, 8, |_| 0.010);
    }
    assert_eq!(pace.window(), 8);
}

/// A frozen member closes no connection. The late answers to what it was sent before say nothing
/// about its load.
#[test]
fn frozen_member_starts_small() {
    let (mut pace, now) = known(3);
    let sent: Vec<u32> = (0..6).map(|_| pace.on_sent(now)).collect();
    let end = now + millis(2500);
    let late = |n: usize| answered(millis(2500), AnswerClass::Served, sent[n]);
    assert_eq!(
        pace.on_answer(late(0), || true, end),
        Some(WindowCause::Recovered)
    );
    for n in 1..6 {
        assert_eq!(pace.on_answer(late(n), || true, end), None);
    }
    assert_eq!((pace.window(), pace.in_flight()), (1, 0));
}

/// One answer after 2.5 s is a slow statement and no outage.
#[test]
fn one_long_statement_is_no_outage() {
    let (mut pace, now) = known(3);
    answer_one(&mut pace, millis(2500), AnswerClass::Served, now);
    assert_eq!(pace.window(), 6);
}

/// A known member that is three times as slow as usual gets no more than its slots, while the other
/// members of the service are not, and its whole window once it is as fast as before.
#[test]
fn slow_member_keeps_its_slots() {
    for (usual, expected) in [(true, 4), (false, 8)] {
        let (mut pace, now) = simulated(4);
        let mut member = SimulatedMember::starting_at(4, SEED, now);
        member.others_usual = usual;
        let mut smallest = 8;
        for _ in 0..300 {
            member.answer(&mut pace, 8, |_| 0.030);
            smallest = smallest.min(pace.window());
        }
        assert_eq!(smallest, expected);
        for _ in 0..300 {
            member.answer(&mut pace, 8, |_| 0.010);
        }
        assert_eq!(pace.window(), 8);
    }
}

/// Refusals for lack of capacity shrink the window to one at the least; a single one does not, since
/// another host may have caused it.
#[test]
fn refusals_shrink_the_window() {
    let (mut pace, mut now) = known(4);
    now = answer_one(&mut pace, millis(1), AnswerClass::Refused, now);
    assert_eq!(pace.window(), 8);
    now = answer_one(&mut pace, millis(1), AnswerClass::Refused, now);
    assert_eq!(pace.window(), 4);
    for _ in 0..20 {
        now = answer_one(&mut pace, millis(1), AnswerClass::Refused, now);
    }
    assert_eq!(pace.window(), 1);
    let mut member = SimulatedMember::starting_at(4, SEED, now);
    for _ in 0..200 {
        member.answer(&mut pace, 8, |_| 0.010);
    }
    assert_eq!(pace.window(), 8);
}

proptest! {
    #![proptest_config(Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Whatever the member does, the window stays between one and twice the slots, so the statements
    /// in flight of a home that keeps it never exceed the bound.
    #[test]
    fn window_stays_within_its_bounds(
        slots in 1_u32..6,
        steps in prop::collection::vec((0_u8..7, 1_u64..400), 1..400),
    ) {
        let mut pace = Pace::new(slots);
        let mut now = millis(1000);
        let mut sent: Vec<(Duration, u32)> = Vec::new();
        for (step, delay) in steps {
            now += millis(delay);
            let class = [AnswerClass::Served, AnswerClass::Failed, AnswerClass::Refused, AnswerClass::NotRun];
            match step {
                0..4 if !sent.is_empty() => {
                    let (at, in_flight) = sent.remove(0);
                    let answer = answered(now - at, class[usize::from(step)], in_flight);
                    pace.on_answer(answer, || true, now);
                }
                4 if !sent.is_empty() => {
                    sent.remove(0);
                    pace.on_unanswered();
                    pace.on_failure(now);
                }
                5 => {
                    pace.on_reached(now);
                }
                6 if delay > 390 => {
                    pace = pace.on_new_incarnation(slots, now);
                    sent.clear();
                }
                _ => {}
            }
            while pace.in_flight() < pace.window() && sent.len() < 20 {
                let in_flight = pace.on_sent(now);
                sent.push((now, in_flight));
            }
            assert!((1..=2 * slots).contains(&pace.window()));
            assert!(pace.in_flight() <= 2 * slots);
            assert_eq!(pace.in_flight() as usize, sent.len());
        }
    }

    /// A restarted member with a steady speed, whichever it is now, reaches 0.9 of what it can run
    /// within `OPENING_BOUND` answers, and stays there.
    #[test]
    fn steady_member_reaches_its_throughput(
        slots in 1_u32..6,
        speed in 0.3_f64..4.0,
        seed in 0_u64..1000,
    ) {
        let (pace, now) = simulated(slots);
        let mut pace = pace.on_new_incarnation(slots, now);
        let mut member = SimulatedMember::starting_at(slots, seed, now);
        for _ in 0..OPENING_BOUND {
            member.answer(&mut pace, 2 * slots, |_| 0.010 * speed);
        }
        let used = member.used(|member| {
            for _ in 0..600 {
                member.answer(&mut pace, 2 * slots, |_| 0.010 * speed);
            }
        });
        assert!(used >= 0.9, "{used} of the slots");
    }
}
