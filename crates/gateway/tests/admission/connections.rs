//! Tests of the order in which callers get connections.

use magnoliahatch_gateway::policy::admission_request::Request;
use magnoliahatch_gateway::policy::connection_waiters::ConnectionWaiters;

use crate::statements::millis;
use crate::statements::read;

/// Guards against an organisation that keeps all connections because it always has a caller for the
/// one it returned, and against a change of organisation for each connection, which would open a
/// new one each time.
#[test]
fn organisation_reuses_its_connections_only_a_few_times() {
    let mut waiters = ConnectionWaiters::default();
    for ticket in 0..100 {
        waiters.insert(ticket, read("hot", millis(1000)), millis(0));
    }
    for ticket in 100..110 {
        waiters.insert(ticket, read("b", millis(1000)), millis(0));
    }
    let mut turns = Vec::new();
    let mut newest = "hot";
    for _ in 0..20 {
        let ticket = waiters.next(Some(newest), millis(1)).expect("callers wait");
        newest = if ticket < 100 { "hot" } else { "b" };
        turns.push(newest);
    }
    let of_b = turns.iter().filter(|t| **t == "b").count();
    let changes = turns.windows(2).filter(|t| t[0] != t[1]).count();
    assert!((6..=14).contains(&of_b), "{of_b} of 20 turns");
    assert!(changes <= 20 / 4, "{changes} changes in 20 turns");
}

/// Guards against a caller of a lower priority that goes first because it can use the connection
/// that was just returned.
#[test]
fn higher_priority_goes_before_reuse() {
    let mut waiters = ConnectionWaiters::default();
    let low = Request {
        priority: 1,
        ..read("a", millis(1000))
    };
    waiters.insert(1, low, millis(0));
    waiters.insert(2, read("b", millis(1000)), millis(0));
    assert_eq!(waiters.next(Some("a"), millis(1)), Some(2));
    assert_eq!(waiters.next(Some("a"), millis(1)), Some(1));
    assert_eq!(waiters.next(Some("a"), millis(1)), None);
}

/// Guards against a caller that is woken after it has given up.
#[test]
fn removed_caller_is_not_woken() {
    let mut waiters = ConnectionWaiters::default();
    waiters.insert(1, read("a", millis(1000)), millis(0));
    waiters.insert(2, read("a", millis(1000)), millis(0));
    waiters.remove(1);
    assert_eq!(waiters.next(None, millis(1)), Some(2));
    assert_eq!(waiters.next(None, millis(1)), None);
}
