//! Tests of the choice of the member that is promoted to primary.

use magnoliahatch_core::position::LogPosition;
use magnoliahatch_gateway::policy::successor::PromotionCandidate;
use magnoliahatch_gateway::policy::successor::PromotionRequirements;
use magnoliahatch_gateway::policy::successor::Successor;
use magnoliahatch_gateway::policy::successor::choose;

fn position(index: u64) -> LogPosition {
    LogPosition { term: 1, index }
}

fn candidate(member: &str, received: Option<u64>) -> PromotionCandidate {
    PromotionCandidate {
        member: member.to_owned(),
        eligible: true,
        received: received.map(position),
    }
}

fn synchronous(acknowledged: u64, all_hosts_reported: bool) -> PromotionRequirements {
    PromotionRequirements {
        synchronous: true,
        acknowledged: Some(position(acknowledged)),
        all_hosts_reported,
        ..PromotionRequirements::default()
    }
}

/// The promotion must not lose writes that another member has received.
#[test]
fn member_that_has_received_most_is_chosen() {
    let candidates = [
        candidate("m1", Some(4)),
        candidate("m2", Some(9)),
        candidate("m3", None),
    ];
    let found = choose(&candidates, &PromotionRequirements::default());
    assert_eq!(found, Successor::Ready("m2".to_owned()));
}

/// A planned change must not lose writes that the old primary is still sending.
#[test]
fn member_that_lacks_part_of_the_primarys_log_is_behind() {
    let candidates = [candidate("m1", Some(4))];
    let requirements = PromotionRequirements {
        old_primary: Some(position(5)),
        ..PromotionRequirements::default()
    };
    let found = choose(&candidates, &requirements);
    assert_eq!(found, Successor::Behind("m1".to_owned()));
}

/// A commit may have been acknowledged because a member that does not answer has received it. It
/// must not be lost.
#[test]
fn unreachable_member_may_hold_an_acknowledged_commit() {
    let candidates = [candidate("m1", Some(4)), candidate("m2", None)];
    assert_eq!(
        choose(&candidates, &synchronous(5, true)),
        Successor::Unsafe
    );
    assert_eq!(
        choose(&candidates, &synchronous(4, false)),
        Successor::Unsafe
    );
    let ready = Successor::Ready("m1".to_owned());
    assert_eq!(choose(&candidates, &synchronous(4, true)), ready);
}

/// One host has not reported what it acknowledged, but every member has reported what it has
/// received, so no commit can be lost. The service must not stay without a primary.
#[test]
fn all_members_together_hold_every_acknowledged_commit() {
    let candidates = [candidate("m1", Some(4)), candidate("m2", Some(3))];
    let ready = Successor::Ready("m1".to_owned());
    assert_eq!(choose(&candidates, &synchronous(4, false)), ready);
}

/// Guards against a lost acknowledged commit that only a member holds which the list of members lacks
/// (review/2): all listed members have answered, and a host has acknowledged more than they hold.
#[test]
fn acknowledged_commit_may_be_on_a_member_that_is_not_listed() {
    let candidates = [candidate("m1", Some(4))];
    for all_hosts_reported in [true, false] {
        let requirements = synchronous(5, all_hosts_reported);
        assert_eq!(choose(&candidates, &requirements), Successor::Unsafe);
    }
}

/// A member must not be promoted that has received less than another one, which is leaving.
#[test]
fn leaving_member_may_hold_an_acknowledged_commit() {
    let mut leaving = candidate("m2", Some(6));
    leaving.eligible = false;
    let candidates = [candidate("m1", Some(4)), leaving];
    assert_eq!(
        choose(&candidates, &synchronous(6, true)),
        Successor::Unsafe
    );
}

/// If no member answers, none may be promoted.
#[test]
fn no_member_is_chosen_if_none_answers() {
    let candidates = [candidate("m1", None)];
    assert_eq!(
        choose(&candidates, &PromotionRequirements::default()),
        Successor::Unsafe
    );
}
