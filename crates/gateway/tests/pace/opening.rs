//! Members that restarted or recovered.

use std::time::Duration;

use magnoliahatch_gateway::policy::pace::AnswerClass;
use magnoliahatch_gateway::policy::pace::WindowCause;

use crate::OPENING_BOUND;
use crate::SEED;
use crate::answered;
use crate::known;
use crate::millis;
use crate::recovered;
use crate::simulated;
use crate::simulated_member::SimulatedMember;

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

/// A member may accept connections while it answers no statement. That is an outage, and what the same
/// process sustained before is not forgotten when it takes long.
#[test]
fn hanging_member_starts_small() {
    let (mut pace, mut now) = simulated(3);
    for turn in 0..20 {
        pace.on_reached(now);
        pace.on_sent(now);
        now += millis(400);
        pace.on_unanswered();
        pace.on_failure(now);
        assert!(turn < 6 || pace.window() == 1, "turn {turn}");
    }
    let mut member = SimulatedMember::starting_at(3, SEED, now);
    for _ in 0..OPENING_BOUND {
        member.answer(&mut pace, 6, |_| 0.010);
    }
    assert_eq!(pace.window(), 6);
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
