//! Statements for the tests.

use std::time::Duration;

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::admission::AdmissionQueue;
use magnoliahatch_gateway::policy::admission_decision::AdmissionDecision;
use magnoliahatch_gateway::policy::admission_decision::Ticket;
use magnoliahatch_gateway::policy::admission_request::Request;

pub(crate) fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A read of priority 0 outside any transaction.
pub(crate) fn read(organisation: &str, deadline: Duration) -> Request {
    Request {
        organisation: organisation.to_owned(),
        weight: 1.0,
        priority: 0,
        kind: StatementKind::Read,
        deadline,
        in_transaction: false,
    }
}

/// A queue without waiting statements that has measured these service times at `now`.
pub(crate) fn measured(
    capacity: u32,
    times: &[(StatementKind, Duration)],
    now: Duration,
) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new(capacity);
    for (kind, used) in times {
        for _ in 0..30 {
            let request = Request {
                kind: *kind,
                ..read("org", now + millis(1000))
            };
            assert_eq!(queue.request(request, now), AdmissionDecision::Granted);
            queue.release(*kind, *used);
        }
    }
    queue
}

/// Requests a slot for a statement that has to wait.
pub(crate) fn wait(queue: &mut AdmissionQueue, request: Request, now: Duration) -> Ticket {
    match queue.request(request, now) {
        AdmissionDecision::Waiting(ticket) => ticket,
        other => panic!("{other:?} instead of a wait"),
    }
}
