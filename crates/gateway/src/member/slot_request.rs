//! The request of a job for a connection or a slot at a member.

use std::time::Duration;

use crate::model::job::Job;
use crate::model::job::Target;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::admission_request::Request;

/// What a job's place in a queue of the member depends on.
pub fn request<P: Platform>(
    node: &Node<P>,
    target: &Target,
    job: &Job,
    deadline: Duration,
    in_transaction: bool,
) -> Request {
    let organisation = target.organisation.clone();
    let configuration = node.configuration();
    Request {
        weight: configuration.map_or(1.0, |c| c.weight(&organisation)),
        organisation,
        priority: target.priority,
        kind: job.work.kind(),
        deadline,
        in_transaction,
    }
}
