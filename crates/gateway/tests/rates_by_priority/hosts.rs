//! Tokens that a host requests and holds.

use std::time::Duration;

use magnoliahatch_gateway::policy::held_tokens::HeldTokens;
use magnoliahatch_gateway::policy::host_demand::HostDemand;

const LIFETIME: Duration = Duration::from_millis(500);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A lower priority must not use the tokens of a higher one, and expired tokens are not used.
#[test]
fn held_tokens_serve_their_priority_and_higher_ones() {
    let mut held = HeldTokens::default();
    held.put(1, 2, millis(0));
    assert!(!held.take(2, LIFETIME, millis(1)));
    assert!(held.take(0, LIFETIME, millis(1)));
    assert!(held.take(1, LIFETIME, millis(1)));
    assert!(!held.take(1, LIFETIME, millis(1)));
    held.put(1, 2, millis(0));
    assert!(!held.take(0, LIFETIME, millis(501)));
}

/// Tokens of the own priority go first, so that those of lower ones are left to them.
#[test]
fn own_priority_goes_first() {
    let mut held = HeldTokens::default();
    held.put(0, 1, millis(0));
    held.put(2, 1, millis(0));
    assert!(held.take(0, LIFETIME, millis(1)));
    assert_eq!(held.count(2, LIFETIME, millis(1)), 1);
}

/// Operations that arrive while a batch is pending must not each request the batch again, and the
/// owner must learn of each operation once.
#[test]
fn pending_batch_is_not_requested_again() {
    let mut demand = HostDemand::default();
    let held = HeldTokens::default();
    for step in 0..10 {
        demand.record(0, millis(step * 20));
    }
    let first = demand.requests(0, &held, LIFETIME, millis(180));
    assert_eq!((first[0].arrived, first[0].wanted), (10, 8));
    demand.record(0, millis(181));
    let second = demand.requests(0, &held, LIFETIME, millis(181));
    assert_eq!((second[0].arrived, second[0].wanted), (1, 1));
    demand.on_answer(&first);
    demand.record(0, millis(200));
    let third = demand.requests(0, &held, LIFETIME, millis(200));
    assert!(third[0].wanted > 1, "{third:?}");
}

/// A priority whose operations have ended must not be requested by the calls of another one.
#[test]
fn ended_demand_is_not_requested() {
    let mut demand = HostDemand::default();
    let held = HeldTokens::default();
    for step in 0..10 {
        demand.record(2, millis(step * 20));
    }
    demand.record(0, millis(190));
    let both = demand.requests(0, &held, LIFETIME, millis(190));
    assert!(
        both.iter().any(|r| r.priority == 2 && r.wanted > 0),
        "{both:?}"
    );
    demand.on_answer(&both);
    demand.record(0, millis(2000));
    let later = demand.requests(0, &held, LIFETIME, millis(2000));
    assert!(later.iter().all(|r| r.priority == 0), "{later:?}");
}
