//! What this host knows of the other members of a service.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::node::Node;
use crate::platform::Platform;

/// Answers older than this say nothing about a member's speed now.
const RECENT: Duration = Duration::from_secs(5);

/// Whether another member of the service answered recently, at its usual speed. If all are slow, the
/// cause is not the load of one.
pub fn answer_as_usual<P: Platform>(node: &Rc<Node<P>>, service: &str, member: &str) -> bool {
    let now = clock::now();
    let view = node.view.borrow();
    let others = view.members(service, now);
    let mut others = others.into_iter().filter(|(id, _)| *id != member);
    others.any(|(id, _)| {
        let reported = node.loads.last_report(id);
        let reported_usual = reported.is_some_and(|(load, age)| age <= RECENT && !load.slow);
        reported_usual
            || node.pools.find(id).is_some_and(|pool| {
                let answered = pool.last_answer();
                let recent = answered.is_some_and(|at| now.saturating_sub(at) <= RECENT);
                recent && !pool.pace.is_slow()
            })
    })
}
