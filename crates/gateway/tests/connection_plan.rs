//! Tests of how a member's scarce connections are used.

use magnoliahatch_gateway::policy::connection_plan::ConnectionLimits;
use magnoliahatch_gateway::policy::connection_plan::IdleConnection;
use magnoliahatch_gateway::policy::connection_plan::Plan;
use magnoliahatch_gateway::policy::connection_plan::limit_opening;
use magnoliahatch_gateway::policy::connection_plan::plan;
use magnoliahatch_gateway::policy::connection_plan::plan_command;

fn idle(names: &[&str]) -> Vec<IdleConnection> {
    let idle = names.iter().map(|n| IdleConnection {
        organisation: (*n).to_owned(),
    });
    idle.collect()
}

/// Statements must not run on another organisation's connection, and there must not be more
/// connections than the member allows.
#[test]
fn connection_of_another_organisation_is_replaced_not_used() {
    let idle_connections = idle(&["a", "b", "b"]);
    assert_eq!(
        plan("a", &idle_connections, 3, ConnectionLimits::new(4, 2)),
        Plan::Use(0)
    );
    assert_eq!(
        plan("c", &idle_connections, 3, ConnectionLimits::new(7, 2)),
        Plan::Open
    );
    assert_eq!(
        plan("c", &idle_connections, 4, ConnectionLimits::new(4, 2)),
        Plan::Replace(1)
    );
    assert_eq!(
        plan("c", &idle(&[]), 4, ConnectionLimits::new(4, 2)),
        Plan::Wait
    );
}

/// After a power failure of all hosts a member keeps their connections for seconds. Idle
/// connections must leave enough of the limit for those opened after the restart.
#[test]
fn idle_connections_of_others_are_replaced_before_the_limit_is_reached() {
    let other = idle(&["org-b"]);
    assert_eq!(
        plan("org-a", &other, 5, ConnectionLimits::new(10, 2)),
        Plan::Open
    );
    assert_eq!(
        plan("org-a", &other, 6, ConnectionLimits::new(10, 2)),
        Plan::Replace(0)
    );
    assert_eq!(
        plan("org-a", &[], 9, ConnectionLimits::new(10, 2)),
        Plan::Open
    );
    assert_eq!(
        plan("org-a", &[], 0, ConnectionLimits::new(1, 2)),
        Plan::Open
    );
}

/// As many organisations as a member has connections, each with an occasional request. They must
/// not keep replacing each other's connections (in scenario kmlsb-bullhire scale-1 this led to
/// 5,778 new connections, and a queue for the whole day).
#[test]
fn many_organisations_may_use_the_whole_limit() {
    assert_eq!(ConnectionLimits::new(28, 8).soft_limit, 16);
    assert_eq!(ConnectionLimits::new(13, 8).soft_limit, 12);
    assert_eq!(ConnectionLimits::new(13, 80).soft_limit, 13);
}

/// All clients return at once after a restart of the system. Opening their connections must not
/// fill the member's queue, which would make it refuse statements.
#[test]
fn no_more_connections_are_opened_at_once_than_a_member_has_slots() {
    assert_eq!(limit_opening(Plan::Open, 1, 2), Plan::Open);
    assert_eq!(limit_opening(Plan::Open, 2, 2), Plan::Wait);
    assert_eq!(limit_opening(Plan::Replace(0), 2, 2), Plan::Wait);
    assert_eq!(limit_opening(Plan::Use(0), 9, 2), Plan::Use(0));
}

/// All connections of a member are in use, or dead ones use up its limit after a power failure. The
/// proxy's own commands must not need another connection or close an existing one.
#[test]
fn command_uses_any_connection() {
    let idle_connections = idle(&["org-a", "org-b"]);
    assert_eq!(
        plan_command(&idle_connections, 2, ConnectionLimits::new(2, 2)),
        Plan::Use(1)
    );
    assert_eq!(
        plan_command(&[], 1, ConnectionLimits::new(2, 2)),
        Plan::Open
    );
    assert_eq!(
        plan_command(&[], 2, ConnectionLimits::new(2, 2)),
        Plan::Wait
    );
}
