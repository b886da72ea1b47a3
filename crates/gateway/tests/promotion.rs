//! Tests of the steps of a change of primary.

use magnoliahatch_gateway::policy::promotion::OrderAnswer;
use magnoliahatch_gateway::policy::promotion::Promotion;
use magnoliahatch_gateway::policy::promotion::Step;

fn member(name: &str) -> String {
    name.to_owned()
}

/// Guards against a service that stays without a primary after an order that promoted nobody.
#[test]
fn old_primary_is_used_again_if_the_only_order_promoted_nobody() {
    let (mut promotion, step) = Promotion::start(None);
    assert_eq!(step, Step::Choose);
    let step = promotion.on_choice(Some(member("m2")));
    assert_eq!(step, Step::Order(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::Refused);
    assert_eq!(step, Step::Repeat(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::NotRunning);
    assert_eq!(step, Step::Restore);
}

/// Guards against a service that stays without a primary if no member can be promoted.
#[test]
fn old_primary_is_used_again_if_no_order_was_sent() {
    let (mut promotion, _) = Promotion::start(None);
    assert_eq!(promotion.on_choice(None), Step::Restore);
}

/// Guards against an old primary that is used again although an order whose answer was lost may
/// have been accepted.
#[test]
fn old_primary_is_not_used_again_after_an_order_without_an_answer() {
    let (mut promotion, _) = Promotion::start(None);
    promotion.on_choice(Some(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::Unknown);
    assert_eq!(step, Step::Repeat(member("m2")));
    let step = promotion.on_answer(member("m2"), OrderAnswer::NotRunning);
    assert_ne!(step, Step::Restore);
}
