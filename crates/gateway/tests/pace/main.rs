//! Tests of the concurrency window of a member, against a simulated member.

mod known_members;
mod opening;
mod properties;
mod simulated_member;

use std::time::Duration;

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::pace::AnswerClass;
use magnoliahatch_gateway::policy::pace::Answered;
use magnoliahatch_gateway::policy::pace::Pace;
use magnoliahatch_gateway::policy::pace::WindowCause;
use simulated_member::SimulatedMember;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
pub(crate) const SEED: u64 = 20_261_206;
/// Answers within which the window of a member with a steady speed must let it run at 0.9 of what it
/// can: 9 until it opens, 8 until it is complete, and once as many again and those in flight (10) after
/// a reduction by chance.
pub(crate) const OPENING_BOUND: usize = 45;

pub(crate) fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn answered(took: Duration, class: AnswerClass, in_flight: u32) -> Answered {
    Answered {
        kind: StatementKind::Read,
        took,
        class,
        in_flight,
    }
}

/// Sends one statement and answers it after `took`. Returns the time of the answer.
pub(crate) fn answer_one(
    pace: &mut Pace,
    took: Duration,
    class: AnswerClass,
    now: Duration,
) -> Duration {
    let in_flight = pace.on_sent(now);
    let answer = answered(took, class, in_flight);
    pace.on_answer(answer, || true, now + took);
    now + took
}

/// A pace that has learned that reads take 10 ms.
pub(crate) fn known(slots: u32) -> (Pace, Duration) {
    let mut pace = Pace::new(slots);
    let mut now = millis(1000);
    for _ in 0..120 {
        now = answer_one(&mut pace, millis(10), AnswerClass::Served, now);
    }
    (pace, now)
}

/// A pace that has learned the times of the simulated member with a mean of 10 ms.
pub(crate) fn simulated(slots: u32) -> (Pace, Duration) {
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
pub(crate) fn recovered(slots: u32) -> (Pace, Duration) {
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
