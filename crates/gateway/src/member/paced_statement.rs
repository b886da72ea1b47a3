//! A statement at a member, whose answer changes the member's concurrency window.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::member::connection::Response;
use crate::member::connection_error::ConnectionError;
use crate::member::pool::Pool;
use crate::model::job::Target;
use crate::model::statement_kind::StatementKind;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::pace::AnswerClass;
use crate::policy::pace::Answered;

/// Answers older than this say nothing about a member's speed now.
const RECENT: Duration = Duration::from_secs(5);

/// A statement that was sent to a member.
pub struct PacedStatement<P: Platform> {
    pool: Rc<Pool<P>>,
    kind: StatementKind,
    sent: Duration,
    in_flight: u32,
}

impl<P: Platform> PacedStatement<P> {
    /// Records that a statement is sent now.
    pub fn sent(pool: &Rc<Pool<P>>, kind: StatementKind) -> Self {
        Self {
            pool: pool.clone(),
            kind,
            sent: clock::now(),
            in_flight: pool.pace.on_sent(),
        }
    }

    /// Records how the statement ended.
    pub fn end(
        self,
        node: &Rc<Node<P>>,
        target: &Target,
        result: &Result<Response, ConnectionError>,
    ) {
        if result.as_ref().is_err_and(ConnectionError::is_silence) {
            // `Pool::on_error` ignores it if the member accepted a connection meanwhile.
            self.pool.pace.on_failure();
        }
        let answer = result.as_ref().ok().map(|response| Answered {
            kind: self.kind,
            took: clock::now().saturating_sub(self.sent),
            class: match &response.result {
                Ok(_) => AnswerClass::Served,
                Err((code, _)) => AnswerClass::of_error(*code),
            },
            in_flight: self.in_flight,
        });
        let others_usual = || answers_as_usual(node, target);
        self.pool.on_statement_end(answer, others_usual);
    }
}

/// Whether another member of the service answered recently, at its usual speed. If all are slow, the
/// cause is not the load of one.
fn answers_as_usual<P: Platform>(node: &Rc<Node<P>>, target: &Target) -> bool {
    let now = clock::now();
    let view = node.view.borrow();
    let members = view.members(&target.service, now);
    let mut others = members.into_iter().filter(|(id, _)| **id != target.member);
    others.any(|(id, _)| {
        let reported = node.loads.last_report(id);
        let reported_usual = reported.is_some_and(|(load, age)| age <= RECENT && !load.slow);
        let own_usual = || {
            node.pools.find(id).is_some_and(|pool| {
                let answered = pool.last_answer();
                let recent = answered.is_some_and(|at| now.saturating_sub(at) <= RECENT);
                recent && !pool.pace.is_slow()
            })
        };
        reported_usual || own_usual()
    })
}
