//! The last check of a statement, on the host that sends it to a member.
//!
//! A statement may have waited for a connection or a slot, its transaction may have been open when the
//! member's data centre was evacuated, and this host may know a newer configuration than the client's
//! host.

use magnoliahatch_core::ids::DataCentreId;

use crate::clock;
use crate::model::error_code::ErrorCode;
use crate::model::job::Job;
use crate::model::job::Target;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::access;
use crate::policy::access::Access;

/// Fails if what this host knows now no longer allows the statement to be sent.
pub fn check<P: Platform>(
    node: &Node<P>,
    target: &Target,
    job: &Job,
    in_transaction: bool,
) -> Result<(), Failure> {
    // An open transaction is rolled back when its channel ends.
    let code = match target.transaction {
        Some(_) => ErrorCode::Aborted,
        None => ErrorCode::Busy,
    };
    if is_left(node, target, in_transaction) {
        return Err(failure(code, Cause::NoMember));
    }
    if !is_allowed(node, target, job) {
        return Err(failure(code, Cause::Access));
    }
    Ok(())
}

/// Whether the member gets no more statements. A draining one still runs those of open transactions; one
/// in an evacuated data centre does not.
fn is_left<P: Platform>(node: &Node<P>, target: &Target, in_transaction: bool) -> bool {
    let now = clock::now();
    let view = node.view.borrow();
    let Some(member) = view.member(&target.member, now) else {
        return false;
    };
    let evacuated = view.is_evacuated(&member.data_centre, clock::now());
    let leaving = evacuated || member.draining;
    node.has_left(&target.member, leaving, now) && (evacuated || !in_transaction)
}

fn is_allowed<P: Platform>(node: &Node<P>, target: &Target, job: &Job) -> bool {
    let view = node.view.borrow();
    let Some(configuration) = view.configuration() else {
        return true;
    };
    let member = view.member(&target.member, clock::now());
    let region = |data_centre: &DataCentreId| node.settings.region(data_centre).to_owned();
    let used = Access {
        organisation: target.organisation.clone(),
        regions: member.iter().map(|m| region(&m.data_centre)).collect(),
    };
    access::may_send(&configuration, job.version, &target.session, &used)
}
