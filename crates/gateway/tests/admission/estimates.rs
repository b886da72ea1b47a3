//! Tests of the statements that are refused because their deadline cannot be met.

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::admission::AdmissionQueue;
use magnoliahatch_gateway::policy::admission_decision::AdmissionDecision;
use magnoliahatch_gateway::policy::admission_request::Request;
use magnoliahatch_gateway::policy::refusal::Refusal;

use crate::statements::measured;
use crate::statements::millis;
use crate::statements::read;
use crate::statements::wait;

/// Service times: a read takes 2 ms, a write 10 ms and a commit 40 ms.
const TIMES: [(StatementKind, u64); 3] = [
    (StatementKind::Read, 2),
    (StatementKind::Write, 10),
    (StatementKind::Commit, 40),
];

/// Guards against estimates that assume one service time for all kinds of statements, or that
/// depend on statements which are served later. Each row names the load, the statements that wait
/// already (organisation, kind, number), a new statement (organisation, kind, time limit in ms) and
/// whether it waits.
#[test]
fn expected_end_depends_on_the_kinds_ahead() {
    use StatementKind::Commit;
    use StatementKind::Read;
    use StatementKind::Write;
    type Ahead<'a> = (&'a str, StatementKind, u32);
    let rows: [(&str, &[Ahead<'_>], Ahead<'_>, bool); 8] = [
        ("many reads", &[("a", Read, 20)], ("a", Read, 100), true),
        (
            "many commits",
            &[("a", Commit, 20)],
            ("a", Read, 100),
            false,
        ),
        ("some commits", &[("a", Commit, 3)], ("a", Read, 100), true),
        ("many writes", &[("a", Write, 80)], ("a", Read, 100), false),
        (
            "a commit needs longer than a read",
            &[("a", Read, 80)],
            ("a", Commit, 60),
            false,
        ),
        (
            "the same for a read",
            &[("a", Read, 80)],
            ("a", Read, 60),
            true,
        ),
        (
            "hot organisation's commits",
            &[("hot", Commit, 200)],
            ("a", Read, 100),
            true,
        ),
        (
            "hot organisation itself",
            &[("hot", Commit, 200)],
            ("hot", Read, 100),
            false,
        ),
    ];
    for (load, ahead, (organisation, kind, limit), waits) in rows {
        let deadline = millis(u64::from(limit));
        let request = |organisation: &str, kind| Request {
            kind,
            ..read(organisation, deadline)
        };
        // The service times are measured after the statements began to wait, so that none of them
        // is refused.
        let mut queue = AdmissionQueue::new(94);
        for _ in 0..4 {
            queue.request(request("x", Read), millis(0));
        }
        for (kind, _) in TIMES {
            for _ in 0..30 {
                queue.request(request("x", kind), millis(0));
            }
        }
        for (organisation, kind, count) in ahead {
            for _ in 0..*count {
                wait(&mut queue, request(organisation, *kind), millis(0));
            }
        }
        for (kind, used) in TIMES {
            for _ in 0..30 {
                queue.release(kind, millis(used));
            }
        }
        queue.set_capacity(4);
        let decision = queue.request(request(organisation, kind), millis(0));
        let waited = matches!(decision, AdmissionDecision::Waiting(_));
        assert_eq!(waited, waits, "{load}: {decision:?}");
    }
}

/// Guards against refusals by an estimate that rests on too few measurements, on old ones, or on
/// ones that vary widely; a wrong refusal costs more than a wait. Each row names the case, the
/// service times in ms, when the last one was measured and whether the last of 40 statements with a
/// time limit of 100 ms waits. At 10 ms each it would end after about 400 ms.
#[test]
fn statements_are_refused_only_by_a_good_estimate() {
    let constant = [10; 30];
    let varying: Vec<u64> = (0..30).map(|n| if n % 10 == 0 { 91 } else { 1 }).collect();
    let rows: [(&str, &[u64], u64, bool); 5] = [
        ("nothing measured", &[], 10_000, true),
        ("19 measurements", &constant[..19], 10_000, true),
        ("20 measurements", &constant[..20], 10_000, false),
        ("measured more than 5 s ago", &constant, 4_900, true),
        (
            "a mean of 10 ms from a few slow statements",
            &varying,
            10_000,
            true,
        ),
    ];
    for (case, times, measured_at, waits) in rows {
        let mut queue = AdmissionQueue::new(1);
        for used in times {
            queue.request(read("a", millis(20_000)), millis(measured_at));
            queue.release(StatementKind::Read, millis(*used));
        }
        let now = millis(10_000);
        queue.request(read("a", now + millis(100)), now);
        let limit = now + millis(100);
        let decisions: Vec<_> = (0..40)
            .map(|_| queue.request(read("a", limit), now))
            .collect();
        let last = decisions[39];
        let waited = matches!(last, AdmissionDecision::Waiting(_));
        assert_eq!(waited, waits, "{case}: {last:?}");
    }
}

/// Guards against a lower class that starves since each of its statements is refused on arrival and
/// none can move up. One statement of an organisation waits, the next is refused as before, and so
/// is one that would have no time left after it moved up.
#[test]
fn one_statement_of_a_lower_class_waits_behind_a_full_higher_one() {
    let mut queue = measured(1, &[(StatementKind::Read, millis(10))], millis(0));
    for _ in 0..100 {
        queue.request(read("high", millis(2000)), millis(0));
    }
    let mut low = |organisation, limit| {
        let request = Request {
            priority: 1,
            ..read(organisation, millis(limit))
        };
        let decision = queue.request(request, millis(0));
        matches!(decision, AdmissionDecision::Waiting(_))
    };
    assert!(low("a", 100), "the first of an organisation");
    assert!(!low("a", 100), "the second of an organisation");
    assert!(low("b", 100), "the first of another organisation");
    assert!(
        !low("c", 20),
        "half of the limit is left when it could move up once"
    );
}

/// Guards against a refusal while a slot is free: the estimate may be wrong, and nothing is gained.
#[test]
fn free_slot_is_granted_whatever_the_estimate_says() {
    let mut queue = measured(2, &[(StatementKind::Read, millis(500))], millis(0));
    for _ in 0..2 {
        let decision = queue.request(read("a", millis(10)), millis(1));
        assert_eq!(decision, AdmissionDecision::Granted);
    }
    let decision = queue.request(read("a", millis(10)), millis(1));
    assert!(matches!(
        decision,
        AdmissionDecision::Refused(Refusal::ExpectedWait(_))
    ));
}

/// Guards against a statement that waits until its deadline although the member needs longer than
/// the time left, and against one that is given up while it can still be answered.
#[test]
fn waiting_statement_is_refused_when_its_service_time_is_not_left() {
    let mut queue = measured(1, &[(StatementKind::Read, millis(20))], millis(0));
    queue.request(read("a", millis(100)), millis(0));
    let ticket = wait(&mut queue, read("a", millis(100)), millis(0));
    let latest = queue.latest_start(StatementKind::Read, millis(100));
    assert!(
        latest >= millis(80),
        "a statement of 20 ms may start at 80 ms"
    );
    assert!(
        latest < millis(90),
        "a statement of 20 ms cannot run within 10 ms"
    );
    assert!(queue.expired(latest - millis(1)).is_empty());
    assert_eq!(queue.expired(latest), [ticket]);
    assert!(queue.expired(latest).is_empty());
}

/// Guards against slots for statements that will probably end too late while others wait, against a
/// refusal of such statements while nothing else waits, and against statements with a short time
/// limit that never get a slot. Reads take 5 or 25 ms. Each row names the case, the time limit of a
/// statement, when a slot becomes free and whether it goes before one with ample time.
#[test]
fn statement_that_will_probably_be_late_waits_behind_others() {
    let rows = [
        ("ample time left", 100, 50, true),
        ("as long left as nearly all reads take", 100, 55, true),
        ("less time left", 100, 70, false),
        ("short limit, first half", 20, 9, true),
        ("short limit, second half", 20, 11, false),
    ];
    for (case, limit, at, is_first) in rows {
        let mut queue = AdmissionQueue::new(1);
        for n in 0..40 {
            queue.request(read("a", millis(1000)), millis(0));
            queue.release(StatementKind::Read, millis(5 + 20 * (n % 2)));
        }
        queue.request(read("a", millis(1000)), millis(0));
        let short = wait(&mut queue, read("a", millis(limit)), millis(0));
        let ample = wait(&mut queue, read("a", millis(1000)), millis(0));
        let mut order = [ample, short];
        if is_first {
            order.reverse();
        }
        for ticket in order {
            queue.release_unused(StatementKind::Read);
            assert_eq!(queue.grant_next(millis(at)), Some(ticket), "{case}");
        }
    }
}

/// Guards against wrong refusals that nobody notices: the member turns out faster than measured.
#[test]
fn wrong_refusals_are_counted() {
    let mut queue = measured(1, &[(StatementKind::Read, millis(50))], millis(0));
    queue.request(read("a", millis(60)), millis(0));
    for _ in 0..3 {
        let decision = queue.request(read("a", millis(60)), millis(0));
        assert!(matches!(decision, AdmissionDecision::Refused(_)));
    }
    queue.release(StatementKind::Read, millis(1));
    assert_eq!(queue.grant_next(millis(1)), None);
    assert_eq!(queue.take_wrong_refusals(), 1, "one slot is free");
    assert_eq!(queue.grant_next(millis(70)), None);
    assert_eq!(queue.take_wrong_refusals(), 0, "too late for the others");
}
