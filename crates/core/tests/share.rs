//! Unit tests of the components of the limits.

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::heartbeat::Heartbeat;
use magnoliahatch_core::loan::LoanGrant;
use magnoliahatch_core::rendezvous;
use magnoliahatch_core::retry_budget::RetryBudget;
use magnoliahatch_core::seat::LEASE_DURATION;
use magnoliahatch_core::seat::SeatState;
use magnoliahatch_core::seat_table::SeatTable;
use magnoliahatch_core::share::Share;
use magnoliahatch_core::share::Unit;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a bucket that is filled at a loan's rate beyond the loan's end, when the loan
/// ends while the process is paused.
#[test]
fn a_loan_that_ended_during_a_pause_fills_the_bucket_only_to_its_end() {
    let mut share = Share::new(Unit::Rate, ms(0));
    share.set_floor(Amount::new(10.0, 1_000.0), ms(100_000), ms(0));
    let lender = "pool".to_owned();
    let request = share.request(&lender, 1, Amount::new(100.0, 0.0), ms(0));
    let grant = LoanGrant {
        id: request.id,
        amount: Amount::new(100.0, 0.0),
        duration: ms(1_000),
    };
    share.on_grant(&lender, &grant, ms(0));
    let taken = (0..1_000).filter(|_| share.take(ms(5_000))).count();
    assert_eq!(taken, 110 + 40);
}

/// Guards against a lease that is counted from when its answer arrived. The granting host counts
/// from when it answered, which may have been long before.
#[test]
fn a_lease_is_counted_from_the_heartbeat_that_it_answers() {
    let mut table = SeatTable::default();
    for (host, incarnation) in [("a", 1), ("b", 2), ("c", 3)] {
        table.add_seat(host.into(), incarnation, true);
    }
    table.version = 1;
    let mut state = SeatState::new("a".into(), 1, ms(0));
    state.on_seat_table(&table, ms(0));
    let sent = state.heartbeat(&"b".to_owned(), 7, ms(0));
    let answer = Heartbeat {
        id: 1,
        echo: Some(sent.id),
        ..sent
    };
    state.on_heartbeat(&"b".to_owned(), 2, &answer, ms(3_000));
    assert!(state.has_majority_lease(LEASE_DURATION - ms(1)));
    assert!(!state.has_majority_lease(LEASE_DURATION));
}

/// Guards against retries that multiply the load of a failing endpoint.
#[test]
fn retries_are_a_tenth_of_the_first_attempts() {
    let mut budget = RetryBudget::new(ms(0));
    let mut retries = 0;
    for step in 0..10_000 {
        budget.on_attempt();
        retries += u32::from(budget.on_retry(ms(step)));
    }
    // 10 initially, a tenth of 10000 attempts, and one per second for 10 seconds.
    assert!((1_000..=1_020).contains(&retries), "{retries}");
}

/// Guards against limits whose broker changes although it remains available.
#[test]
fn limits_spread_and_move_only_with_their_broker() {
    let hosts: Vec<String> = (0..9).map(|i| format!("host-{i}")).collect();
    let all = || hosts.iter().map(String::as_str);
    let mut counts = [0; 9];
    for key in (0..9_000).map(|d| format!("rate/org-{d}")) {
        let owner = rendezvous::owner(&key, all()).unwrap();
        counts[hosts.iter().position(|h| h == owner).unwrap()] += 1;
        let remaining_owner = rendezvous::owner(&key, all().filter(|h| *h != "host-4")).unwrap();
        assert!(owner == "host-4" || owner == remaining_owner);
    }
    assert!(
        counts.iter().all(|c| (800..1_200).contains(c)),
        "{counts:?}"
    );
}
