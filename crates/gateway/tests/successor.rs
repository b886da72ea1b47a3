//! Tests of the choice of the next primary.

use magnoliahatch_core::position::LogPosition;
use magnoliahatch_gateway::policy::successor::Contender;
use magnoliahatch_gateway::policy::successor::Demand;
use magnoliahatch_gateway::policy::successor::Successor;
use magnoliahatch_gateway::policy::successor::choose;

fn position(index: u64) -> LogPosition {
    LogPosition { term: 1, index }
}

fn contender(member: &str, received: Option<u64>) -> Contender {
    Contender {
        member: member.to_owned(),
        eligible: true,
        received: received.map(position),
    }
}

fn synchronous(acknowledged: u64, complete: bool) -> Demand {
    Demand {
        synchronous: true,
        acknowledged: Some(position(acknowledged)),
        complete,
        ..Demand::default()
    }
}

/// Guards against a promotion that drops writes which another member holds.
#[test]
fn member_that_has_received_most_is_chosen() {
    let contenders = [
        contender("m1", Some(4)),
        contender("m2", Some(9)),
        contender("m3", None),
    ];
    let found = choose(&contenders, &Demand::default());
    assert_eq!(found, Successor::Ready("m2".to_owned()));
}

/// Guards against a planned change that drops what the leaving primary still sends.
#[test]
fn member_that_lacks_what_the_primary_holds_is_behind() {
    let contenders = [contender("m1", Some(4))];
    let demand = Demand {
        primary: Some(position(5)),
        ..Demand::default()
    };
    let found = choose(&contenders, &demand);
    assert_eq!(found, Successor::Behind("m1".to_owned()));
}

/// Guards against the loss of a commit that was acknowledged because the silent member has it.
#[test]
fn silent_member_may_hold_an_acknowledged_commit() {
    let contenders = [contender("m1", Some(4)), contender("m2", None)];
    assert_eq!(
        choose(&contenders, &synchronous(5, true)),
        Successor::Unsafe
    );
    assert_eq!(
        choose(&contenders, &synchronous(4, false)),
        Successor::Unsafe
    );
    let ready = Successor::Ready("m1".to_owned());
    assert_eq!(choose(&contenders, &synchronous(4, true)), ready);
}

/// Guards against a service that stays without a primary although no commit can be lost: a host
/// has not told what it acknowledged, but every member has told what it holds.
#[test]
fn all_members_together_hold_every_acknowledged_commit() {
    let contenders = [contender("m1", Some(4)), contender("m2", Some(3))];
    let ready = Successor::Ready("m1".to_owned());
    assert_eq!(choose(&contenders, &synchronous(4, false)), ready);
}

/// Guards against the promotion of a member that stays behind a leaving one.
#[test]
fn leaving_member_may_hold_an_acknowledged_commit() {
    let mut leaving = contender("m2", Some(6));
    leaving.eligible = false;
    let contenders = [contender("m1", Some(4)), leaving];
    assert_eq!(
        choose(&contenders, &synchronous(6, true)),
        Successor::Unsafe
    );
}

/// Guards against a change that ends without a successor where none answers.
#[test]
fn no_answer_is_no_successor() {
    let contenders = [contender("m1", None)];
    assert_eq!(choose(&contenders, &Demand::default()), Successor::Unsafe);
}
