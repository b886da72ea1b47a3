//! Guards against reads on replicas that lack data the session has seen or that are too stale.

use std::time::Duration;

use magnoliahatch_core::group_view::GroupView;
use magnoliahatch_core::member_view::MemberView;
use magnoliahatch_core::position::LogPosition;
use magnoliahatch_core::position_history::PositionHistory;
use magnoliahatch_core::role::Role;
use magnoliahatch_core::route::ReadRequirements;
use magnoliahatch_core::route::ReadTarget;
use magnoliahatch_core::route::choose_target;
use proptest::prelude::*;

const TERM: u64 = 3;

fn member(role: Role, applied: u64, observed_at: u64) -> MemberView {
    MemberView {
        reachable: true,
        role,
        term: TERM,
        last_term: TERM,
        received: applied,
        applied,
        observed_at: Duration::from_millis(observed_at),
    }
}

fn group(applied: &[u64], observed_at: &[u64]) -> GroupView {
    let mut view = GroupView {
        term: TERM,
        primary: Some("m0".to_owned()),
        ..GroupView::default()
    };
    view.members
        .insert("m0".to_owned(), member(Role::Primary, 0, 0));
    for (at, (applied, observed_at)) in applied.iter().zip(observed_at).enumerate() {
        let name = format!("m{}", at + 1);
        view.members
            .insert(name, member(Role::Replica, *applied, *observed_at));
    }
    view
}

fn position(index: u64) -> LogPosition {
    LogPosition { term: TERM, index }
}

proptest! {
    /// Whichever of the writes were sampled, the chosen replica has the position that the session
    /// has seen and every write that is older than the accepted staleness.
    #[test]
    fn chosen_replica_is_current_enough(
        gaps in prop::collection::vec(1..200u64, 1..60),
        sampled in prop::collection::vec(any::<bool>(), 60),
        applied in prop::collection::vec(0..60u64, 2),
        heard_ago in prop::collection::vec(0..500u64, 2),
        seen in 0..60u64,
        max_age in 0..2000u64,
        turn in any::<usize>(),
        capacity in 1..20usize,
    ) {
        let mut now = 0;
        let mut writes = Vec::new();
        let mut ring = PositionHistory::new(capacity);
        for (at, gap) in gaps.iter().enumerate() {
            now += gap;
            writes.push((now, at as u64 + 1));
            if sampled[at] {
                ring.record(Duration::from_millis(now), position(at as u64 + 1));
            }
        }
        let observed_at: Vec<u64> = heard_ago.iter().map(|ago| u64::saturating_sub(now, *ago)).collect();
        let view = group(&applied, &observed_at);
        let requirements = ReadRequirements { seen: Some(position(seen)), max_age: Duration::from_millis(max_age) };
        let choice = choose_target(&view, &ring, requirements, Duration::from_millis(now), turn, |_| Some(0));
        if let ReadTarget::Replica(name) = choice {
            let chosen = &view.members[&name];
            prop_assert!(chosen.applied >= seen);
            for (time, index) in writes {
                prop_assert!(chosen.applied >= index || now - time <= max_age, "{time} {index}");
            }
            prop_assert!(Duration::from_millis(now) - chosen.observed_at <= requirements.max_age);
        }
    }
}

fn choose_at_110_ms(view: &GroupView, requirements: ReadRequirements) -> ReadTarget {
    let mut ring = PositionHistory::new(8);
    ring.record(Duration::from_millis(100), position(5));
    choose_target(
        view,
        &ring,
        requirements,
        Duration::from_millis(110),
        0,
        |_| Some(0),
    )
}

const NEED: ReadRequirements = ReadRequirements {
    seen: Some(LogPosition {
        term: TERM,
        index: 5,
    }),
    max_age: Duration::from_millis(50),
};

#[test]
fn session_without_a_token_or_an_accepted_age_reads_from_the_primary() {
    let view = group(&[5, 5], &[100, 100]);
    assert!(matches!(
        choose_at_110_ms(&view, NEED),
        ReadTarget::Replica(_)
    ));
    assert_eq!(
        choose_at_110_ms(&view, ReadRequirements { seen: None, ..NEED }),
        ReadTarget::Primary
    );
    let none = ReadRequirements {
        max_age: Duration::ZERO,
        ..NEED
    };
    assert_eq!(choose_at_110_ms(&view, none), ReadTarget::Primary);
}

#[test]
fn newer_term_in_the_token_requires_a_refresh() {
    let seen = Some(LogPosition {
        term: TERM + 1,
        index: 1,
    });
    assert_eq!(
        choose_at_110_ms(&group(&[5], &[100]), ReadRequirements { seen, ..NEED }),
        ReadTarget::Refresh
    );
}

#[test]
fn replica_of_another_term_serves_no_reads() {
    let mut view = group(&[9], &[100]);
    let replica = view.members.get_mut("m1").expect("exists");
    replica.last_term = TERM - 1;
    assert_eq!(choose_at_110_ms(&view, NEED), ReadTarget::Primary);
    // The replica's log ends in the current term, but it has granted a newer term, so another
    // primary may exist.
    let mut view = group(&[9], &[100]);
    view.members.get_mut("m1").expect("exists").term = TERM + 1;
    assert_eq!(choose_at_110_ms(&view, NEED), ReadTarget::Primary);
}

#[test]
fn lowest_cost_is_chosen_among_members_in_service() {
    let view = group(&[5, 5, 5], &[100, 100, 100]);
    let mut ring = PositionHistory::new(8);
    ring.record(Duration::from_millis(100), position(5));
    for turn in 0..4 {
        let cost = |name: &String| (name != "m1").then_some(u32::from(name == "m2"));
        let now = Duration::from_millis(110);
        let choice = choose_target(&view, &ring, NEED, now, turn, cost);
        assert_eq!(choice, ReadTarget::Replica("m3".to_owned()));
    }
}
