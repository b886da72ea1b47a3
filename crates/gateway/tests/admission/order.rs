//! Tests of the order in which waiting statements get slots.

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::admission::AdmissionQueue;
use magnoliahatch_gateway::policy::admission_request::Request;

use crate::statements::millis;
use crate::statements::read;
use crate::statements::wait;

/// Guards against an order other than: open transactions, then classes, then the organisation with
/// the least service time, then the earliest deadline. Each row names the load, the statements that
/// wait (organisation, priority, open transaction, deadline in ms) and the order of their grants.
#[test]
fn waiting_statements_are_granted_in_order() {
    type Waiting<'a> = (&'a str, u32, bool, u64);
    let rows: [(&str, &[Waiting<'_>], &[usize]); 6] = [
        (
            "one organisation, equal time limits: by arrival",
            &[
                ("a", 1, false, 1000),
                ("a", 1, false, 1000),
                ("a", 1, false, 1000),
            ],
            &[0, 1, 2],
        ),
        (
            "routes of different priorities: the higher first",
            &[
                ("a", 2, false, 1000),
                ("b", 0, false, 1000),
                ("c", 1, false, 1000),
            ],
            &[1, 2, 0],
        ),
        (
            "an open transaction before all routes, whatever its own priority",
            &[("a", 0, false, 1000), ("a", 3, true, 1000)],
            &[1, 0],
        ),
        (
            "one organisation, different time limits: the earliest deadline first",
            &[
                ("a", 0, false, 900),
                ("a", 0, false, 300),
                ("a", 0, false, 600),
            ],
            &[1, 2, 0],
        ),
        (
            "hot organisation: the others' statements in between, despite later deadlines",
            &[
                ("hot", 0, false, 500),
                ("hot", 0, false, 500),
                ("hot", 0, false, 500),
                ("b", 0, false, 900),
                ("c", 0, false, 900),
            ],
            &[0, 3, 4, 1, 2],
        ),
        (
            "an earlier deadline does not overtake a higher class",
            &[("a", 1, false, 300), ("b", 0, false, 900)],
            &[1, 0],
        ),
    ];
    for (load, waiting, order) in rows {
        let mut queue = AdmissionQueue::new(1);
        queue.request(read("x", millis(1000)), millis(0));
        let mut tickets = Vec::new();
        for (organisation, priority, in_transaction, deadline) in waiting {
            let request = Request {
                priority: *priority,
                in_transaction: *in_transaction,
                ..read(organisation, millis(*deadline))
            };
            tickets.push(wait(&mut queue, request, millis(0)));
        }
        for expected in order {
            queue.release(StatementKind::Read, millis(1));
            let granted = queue.grant_next(millis(1));
            assert_eq!(granted, Some(tickets[*expected]), "{load}");
        }
    }
}

/// Guards against a lower class that starves while a higher one always has statements waiting, and
/// against a higher class that is held up by old statements of many organisations: one in eight
/// grants may go to a statement that moved up.
#[test]
fn statement_that_waited_half_its_limit_moves_up_one_class() {
    let mut queue = AdmissionQueue::new(1);
    queue.request(read("x", millis(1000)), millis(0));
    let low = |organisation, deadline| Request {
        priority: 1,
        ..read(organisation, millis(deadline))
    };
    let old = wait(&mut queue, low("a", 100), millis(0));
    let second = wait(&mut queue, low("b", 100), millis(0));
    let new = wait(&mut queue, low("a", 200), millis(49));
    for _ in 0..9 {
        wait(&mut queue, read("c", millis(300)), millis(49));
    }
    // The first grant is for `old`. After eight grants `second` may move up.
    let order: Vec<_> = (0..12)
        .map(|_| {
            queue.release(StatementKind::Read, millis(1));
            queue.grant_next(millis(50)).expect("statements wait")
        })
        .collect();
    assert_eq!(order[0], old);
    assert_eq!(*order.last().expect("grants"), new);
    let place = order.iter().position(|t| *t == second).expect("granted");
    assert!((8..=9).contains(&place), "second at {place}");
}

/// Guards against an organisation that shares a member by the number of its statements instead of
/// its contract. Two organisations always have statements waiting.
#[test]
fn organisations_share_in_proportion_to_their_weights() {
    let mut queue = AdmissionQueue::new(1);
    queue.request(read("x", millis(1000)), millis(0));
    let mut large = Vec::new();
    for _ in 0..80 {
        let request = Request {
            weight: 30.0,
            ..read("large", millis(1000))
        };
        large.push(wait(&mut queue, request, millis(0)));
        let request = Request {
            weight: 10.0,
            ..read("small", millis(1000))
        };
        wait(&mut queue, request, millis(0));
    }
    let mut count = 0;
    for _ in 0..80 {
        queue.release(StatementKind::Read, millis(1));
        let granted = queue.grant_next(millis(1)).expect("statements wait");
        count += u32::from(large.contains(&granted));
    }
    assert!(
        (59..=61).contains(&count),
        "{count} of 80 for weight 30 of 40"
    );
}

/// Guards against an organisation that catches up on the time in which it sent nothing, or that loses
/// its place although it waited: `a` is served alone first, then `b` sends as many.
#[test]
fn idle_time_gives_no_credit() {
    let mut queue = AdmissionQueue::new(1);
    queue.request(read("x", millis(1000)), millis(0));
    let mut of_a = Vec::new();
    for _ in 0..30 {
        of_a.push(wait(&mut queue, read("a", millis(1000)), millis(0)));
    }
    let next = |queue: &mut AdmissionQueue| {
        queue.release(StatementKind::Read, millis(1));
        let granted = queue.grant_next(millis(1)).expect("statements wait");
        of_a.contains(&granted)
    };
    for _ in 0..20 {
        assert!(next(&mut queue));
    }
    for _ in 0..10 {
        wait(&mut queue, read("b", millis(1000)), millis(1));
    }
    let count = (0..10).filter(|_| next(&mut queue)).count();
    assert_eq!(count, 5, "of the next ten grants");
}

/// Guards against an organisation that fills the queue so that the statements of others are refused.
#[test]
fn full_queue_takes_a_statement_of_another_organisation() {
    let mut queue = AdmissionQueue::new(1);
    queue.request(read("x", millis(1000)), millis(0));
    let hot: Vec<_> = (0..256)
        .map(|_| wait(&mut queue, read("hot", millis(1000)), millis(0)))
        .collect();
    let other = wait(&mut queue, read("b", millis(1000)), millis(0));
    assert_eq!(queue.waiting(), 256);
    assert_eq!(queue.expired(millis(0)), [hot[255]]);
    queue.release(StatementKind::Read, millis(1));
    assert_eq!(queue.grant_next(millis(1)), Some(hot[0]));
    queue.release(StatementKind::Read, millis(1));
    assert_eq!(queue.grant_next(millis(1)), Some(other));
}
