//! The last check of a statement, on the host that sends it to a member.
//!
//! A statement may have waited for a connection or a slot, and this host may know a newer configuration
//! than the client's host.

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

/// Fails if the configuration that this host knows no longer allows the statement.
pub fn check<P: Platform>(node: &Node<P>, target: &Target, job: &Job) -> Result<(), Failure> {
    let view = node.view.borrow();
    let Some(configuration) = view.configuration() else {
        return Ok(());
    };
    let member = view.member(&target.member, clock::now());
    let region = |data_centre: &DataCentreId| node.settings.region(data_centre).to_owned();
    let used = Access {
        organisation: target.organisation.clone(),
        regions: member.iter().map(|m| region(&m.data_centre)).collect(),
    };
    if access::may_send(&configuration, job.version, &target.session, &used) {
        return Ok(());
    }
    // An open transaction is rolled back when its channel ends.
    let code = match target.transaction {
        Some(_) => ErrorCode::Aborted,
        None => ErrorCode::Busy,
    };
    Err(failure(code, Cause::Access))
}
