//! Members that did not restart.

use std::time::Duration;

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::pace::AnswerClass;
use magnoliahatch_gateway::policy::pace::Answered;
use magnoliahatch_gateway::policy::pace::Pace;

use crate::SEED;
use crate::answer_one;
use crate::answered;
use crate::known;
use crate::millis;
use crate::recovered;
use crate::simulated;
use crate::simulated_member::SimulatedMember;

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
