//! Property test over random interleavings, and single cases.

use std::time::Duration;

use magnoliahatch_core::election::Election;
use magnoliahatch_core::election::ElectionAction;
use magnoliahatch_core::election::ElectionTimeouts;
use magnoliahatch_core::member_command::CommandReply;
use magnoliahatch_core::member_command::LogEnd;
use magnoliahatch_core::member_command::MemberCommand;
use proptest::prelude::*;

use crate::simulation::Simulation;
use crate::simulation::Step;
use crate::simulation::member_name;

/// Number of interleavings that one run of the property test generates.
const CASES: u32 = 800;

/// Mostly steps of a single message, and some longer ones that reach states after several
/// elections.
fn step() -> impl Strategy<Value = Step> {
    let elect =
        (0..4usize, 1..8u8, 1..24usize).prop_map(|(candidate, mask, messages)| Step::Elect {
            candidate,
            mask,
            messages,
        });
    prop_oneof![
        12 => (0..64usize).prop_map(Step::Deliver),
        1 => (0..64usize).prop_map(Step::Lose),
        2 => (0..4usize, 1..400u64).prop_map(|(at, ms)| Step::Tick(at, ms)),
        1 => (0..4usize, prop::bool::weighted(0.8)).prop_map(|(at, on)| Step::SetNeeded(at, on)),
        1 => (0..4usize).prop_map(Step::Repair),
        1 => (0..4usize).prop_map(Step::ObserveTerm),
        1 => (0..4usize).prop_map(Step::RestartCandidate),
        1 => (0..3usize).prop_map(Step::Crash),
        2 => (0..3usize).prop_map(Step::Restart),
        3 => (0..3usize).prop_map(Step::Write),
        2 => (0..3usize).prop_map(Step::Pull),
        3 => (0..3usize, 1..4usize).prop_map(|(at, times)| Step::Replicate(at, times)),
        2 => elect,
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, ..ProptestConfig::default() })]

    #[test]
    fn interleavings_keep_one_primary_per_term_and_all_confirmed_entries(
        candidates in 1..4usize,
        steps in prop::collection::vec(step(), 0..200),
    ) {
        let mut simulation = Simulation::new(candidates);
        for step in &steps {
            simulation.step(step);
        }
        simulation.settle();
    }
}

/// Guards against a property test that passes because its interleavings never change the primary.
#[test]
fn random_steps_elect_primaries() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;

    let mut runner = TestRunner::deterministic();
    let steps = prop::collection::vec(step(), 200);
    let mut changes_total = 0;
    let mut runs_with_repeated_changes = 0;
    for _ in 0..50 {
        let mut simulation = Simulation::new(2);
        for step in steps.new_tree(&mut runner).unwrap().current() {
            simulation.step(&step);
        }
        let changes_in_run = simulation.primary_count() - 1;
        changes_total += changes_in_run;
        runs_with_repeated_changes += usize::from(changes_in_run > 1);
    }
    assert!(
        changes_total >= 50,
        "{changes_total} changes of primary in 50 runs"
    );
    assert!(
        runs_with_repeated_changes >= 10,
        "{runs_with_repeated_changes} of 50 runs changed the primary more than once"
    );
}

fn election() -> Election {
    let mut election = Election::new(
        (0..3).map(member_name).collect(),
        ElectionTimeouts::default(),
        7,
    );
    election.on_term(4);
    election.set_primary_needed(true, Duration::ZERO, Duration::ZERO);
    election
}

fn grant(term: u64, last_term: u64, received: u64) -> CommandReply {
    CommandReply::Fence {
        granted: true,
        term,
        end: LogEnd {
            last_term,
            received,
        },
    }
}

fn promote_targets(actions: &[ElectionAction]) -> Vec<&str> {
    let promotes = actions.iter().filter_map(|action| match action {
        ElectionAction::Call {
            member,
            command: MemberCommand::Promote,
            ..
        } => Some(member.as_str()),
        _ => None,
    });
    promotes.collect()
}

#[test]
fn logs_are_compared_by_term_before_length() {
    let mut election = election();
    let now = Duration::from_millis(1);
    assert_eq!(election.on_tick(now).len(), 3);
    election.on_answer(&member_name(0), 5, grant(5, 2, 90), now);
    let actions = election.on_answer(&member_name(1), 5, grant(5, 3, 10), now);
    assert!(
        promote_targets(&actions).is_empty(),
        "must wait for the third answer"
    );
    let actions = election.on_tick(now + ElectionTimeouts::default().grant_wait);
    assert_eq!(promote_targets(&actions), ["m1"]);
}

#[test]
fn preferred_member_wins_among_equal_logs_only() {
    for (received, expected) in [(10, "m0"), (11, "m2")] {
        let mut election = election();
        election.set_preferred(Some(member_name(0)));
        let now = Duration::from_millis(1);
        election.on_tick(now);
        election.on_answer(&member_name(0), 5, grant(5, 3, 10), now);
        election.on_answer(&member_name(1), 5, grant(5, 3, 10), now);
        let actions = election.on_answer(&member_name(2), 5, grant(5, 3, received), now);
        assert_eq!(promote_targets(&actions), [expected]);
    }
}

/// A primary that is out of service would have to be replaced again at once.
#[test]
fn member_out_of_service_wins_only_with_the_newest_log() {
    for (received, expected) in [(10, "m2"), (11, "m0")] {
        let mut election = election();
        election.set_preferred(Some(member_name(0)));
        election.set_last_choice([member_name(0), member_name(1)].into());
        let now = Duration::from_millis(1);
        election.on_tick(now);
        election.on_answer(&member_name(0), 5, grant(5, 3, received), now);
        election.on_answer(&member_name(1), 5, grant(5, 3, 10), now);
        let actions = election.on_answer(&member_name(2), 5, grant(5, 3, 10), now);
        assert_eq!(promote_targets(&actions), [expected]);
    }
}

/// If the answer to a promotion is lost, the member may already serve as primary. Promoting another
/// member in the same term would make a second primary.
#[test]
fn unanswered_promotion_is_retried_on_the_same_member_or_in_a_newer_term() {
    let mut election = election();
    let timing = ElectionTimeouts::default();
    let mut now = Duration::from_millis(1);
    election.on_tick(now);
    for at in 0..3 {
        election.on_answer(&member_name(at), 5, grant(5, 3, 10), now);
    }
    election.on_answer(&member_name(2), 5, CommandReply::Lost, now);
    now += timing.retry_interval;
    let again = election.on_tick(now);
    assert_eq!(promote_targets(&again).len(), 1);
    now += timing.step_timeout;
    assert_eq!(
        election.on_tick(now),
        [ElectionAction::Abandoned { term: 5 }]
    );
    now += timing.initial_backoff * 2;
    for action in election.on_tick(now) {
        assert!(matches!(
            action,
            ElectionAction::Call {
                term: 6,
                command: MemberCommand::Fence,
                ..
            }
        ));
    }
}

/// Observing a newer term must not change the term of an attempt that already has grants, since
/// grants of two terms do not add up to a majority in either.
#[test]
fn newer_term_observed_while_fencing_does_not_mix_grants_of_two_terms() {
    let mut election = election();
    let now = Duration::from_millis(1);
    election.on_tick(now);
    election.on_answer(&member_name(0), 5, grant(5, 3, 10), now);
    election.on_term(8);
    for action in election.on_tick(now + ElectionTimeouts::default().retry_interval) {
        assert!(
            matches!(action, ElectionAction::Call { term: 5, .. }),
            "{action:?}"
        );
    }
    let actions = election.on_answer(&member_name(1), 8, grant(8, 3, 10), now);
    assert!(actions.is_empty(), "{actions:?}");
}

/// Between the two grants, the member may have taken part in another candidate's newer term.
#[test]
fn late_grant_of_an_abandoned_attempt_does_not_count() {
    let mut election = election();
    let timing = ElectionTimeouts::default();
    let mut now = Duration::from_millis(1);
    election.on_tick(now);
    now += timing.step_timeout;
    assert_eq!(
        election.on_tick(now),
        [ElectionAction::Abandoned { term: 5 }]
    );
    now += timing.initial_backoff * 2;
    election.on_tick(now);
    election.on_answer(&member_name(0), 6, grant(6, 3, 10), now);
    election.on_answer(&member_name(1), 5, grant(5, 3, 10), now);
    let actions = election.on_tick(now + timing.grant_wait);
    assert_eq!(promote_targets(&actions), [""; 0]);
}

/// A daemon that learns of candidates with a lower rank before its first attempt must delay the
/// attempt further, so that they go first.
#[test]
fn delay_of_the_first_attempt_can_change_before_it_starts() {
    let mut election = election();
    let now = Duration::from_millis(100);
    election.set_primary_needed(true, Duration::from_millis(300), now);
    assert!(election.on_tick(now).is_empty());
    assert_eq!(election.on_tick(Duration::from_millis(300)).len(), 3);
}

#[test]
fn attempt_that_is_no_longer_needed_does_not_start() {
    let mut election = election();
    election.set_primary_needed(false, Duration::ZERO, Duration::ZERO);
    assert!(!election.is_active());
    assert!(election.on_tick(Duration::from_secs(1)).is_empty());
}
