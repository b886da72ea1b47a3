//! Properties of the window whatever the member does.

use std::time::Duration;

use magnoliahatch_gateway::policy::pace::AnswerClass;
use magnoliahatch_gateway::policy::pace::Pace;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::OPENING_BOUND;
use crate::SEED;
use crate::answered;
use crate::millis;
use crate::simulated;
use crate::simulated_member::SimulatedMember;

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
