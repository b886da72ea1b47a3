//! Tests of when rates are granted by priority.

use magnoliahatch_gateway::policy::urgent_share::UrgentShare;

/// Records this many operations, one in `urgent` of them of priority 0.
fn share(count: u32, urgent: u32) -> UrgentShare {
    let mut share = UrgentShare::default();
    for number in 1..=count {
        share.record(u32::from(!number.is_multiple_of(urgent)));
    }
    share
}

/// Load: a seventh of the operations is of priority 0, as at a customer whose worthiest route has it.
#[test]
fn worthy_operations_rank_all() {
    assert!(share(14, 7).ranks_operations());
    assert!(share(10_000, 7).ranks_operations());
}

/// Load: a route of priority 0 that hardly any operation uses. Guards against reserves for it, which
/// refuse other operations.
#[test]
fn rare_operations_of_the_highest_priority_rank_nothing() {
    assert!(!share(10_000, 100).ranks_operations());
}

/// Guards against a host that serves worthy operations last until it has counted enough of them.
#[test]
fn too_few_operations_leave_the_choice_to_the_configuration() {
    assert!(UrgentShare::default().ranks_operations());
    assert!(share(7, 100).ranks_operations());
    assert!(!share(8, 100).ranks_operations());
}

/// Guards against ranks that outlast the operations of priority 0.
#[test]
fn ranks_end_with_the_operations_of_priority_0() {
    let mut share = share(1000, 2);
    for _ in 0..1500 {
        share.record(2);
    }
    assert!(!share.ranks_operations());
}
