//! Tests of the use of a member's scarce connections.

use magnoliahatch_gateway::policy::connection_plan::Idle;
use magnoliahatch_gateway::policy::connection_plan::Plan;
use magnoliahatch_gateway::policy::connection_plan::Room;
use magnoliahatch_gateway::policy::connection_plan::paced;
use magnoliahatch_gateway::policy::connection_plan::plan;
use magnoliahatch_gateway::policy::connection_plan::plan_command;

fn idle(names: &[&str]) -> Vec<Idle> {
    let idle = names.iter().map(|n| Idle {
        organisation: (*n).to_owned(),
    });
    idle.collect()
}

/// Guards against statements that run under another organisation's name, and against more
/// connections than the member allows.
#[test]
fn connection_of_another_organisation_is_replaced_not_used() {
    let both = idle(&["a", "b", "b"]);
    assert_eq!(plan("a", &both, 3, Room::new(4, 2)), Plan::Use(0));
    assert_eq!(plan("c", &both, 3, Room::new(7, 2)), Plan::Open);
    assert_eq!(plan("c", &both, 4, Room::new(4, 2)), Plan::Replace(1));
    assert_eq!(plan("c", &idle(&[]), 4, Room::new(4, 2)), Plan::Wait);
}

/// Pattern: a loss of power of all hosts, after which a member keeps their connections for seconds.
/// Guards against a stock of idle connections that leaves no room for those after the restart.
#[test]
fn idle_connections_of_others_are_replaced_before_all_are_open() {
    let other = idle(&["org-b"]);
    assert_eq!(plan("org-a", &other, 5, Room::new(10, 2)), Plan::Open);
    assert_eq!(plan("org-a", &other, 6, Room::new(10, 2)), Plan::Replace(0));
    assert_eq!(plan("org-a", &[], 9, Room::new(10, 2)), Plan::Open);
    assert_eq!(plan("org-a", &[], 0, Room::new(1, 2)), Plan::Open);
}

/// Pattern: as many organisations as a member has connections, each with a call now and then. Guards
/// against organisations that take each other's connections away (kmlsb-bullhire scale-1: 5,778 new
/// connections, and a queue through the whole day).
#[test]
fn many_organisations_use_the_whole_room() {
    assert_eq!(Room::new(28, 8).ready, 16);
    assert_eq!(Room::new(13, 8).ready, 12);
    assert_eq!(Room::new(13, 80).ready, 13);
}

/// Pattern: the callers of a restarted system return at once. Guards against openings that fill the
/// member's queue, so that it refuses statements.
#[test]
fn no_more_connections_are_opened_at_once_than_a_member_has_slots() {
    assert_eq!(paced(Plan::Open, 1, 2), Plan::Open);
    assert_eq!(paced(Plan::Open, 2, 2), Plan::Wait);
    assert_eq!(paced(Plan::Replace(0), 2, 2), Plan::Wait);
    assert_eq!(paced(Plan::Use(0), 9, 2), Plan::Use(0));
}

/// Pattern: all connections of a member are in use, or dark ones fill it up after a loss of power.
/// Guards against a question to a member that needs one more connection, or closes one.
#[test]
fn command_uses_any_connection() {
    let both = idle(&["org-a", "org-b"]);
    assert_eq!(plan_command(&both, 2, Room::new(2, 2)), Plan::Use(1));
    assert_eq!(plan_command(&[], 1, Room::new(2, 2)), Plan::Open);
    assert_eq!(plan_command(&[], 2, Room::new(2, 2)), Plan::Wait);
}
