//! Finds the members that may replace a primary, or that limit which one may.

use std::rc::Rc;

use crate::clock;
use crate::member::control;
use crate::model::primary_record::PrimaryRecord;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::service_members;
use crate::policy::successor::PromotionCandidate;

/// Returns all known members but the recorded primary, with the log positions they have received.
/// Members that cannot be promoted are only asked with `ask_all`; those without a registration are
/// not used, so they give no answer.
pub async fn ask<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    record: &PrimaryRecord,
    ask_all: bool,
) -> Vec<PromotionCandidate> {
    let mut candidates = known(node, service, record);
    let statuses = candidates.iter().map(async |c| {
        if !c.eligible && !ask_all {
            return None;
        }
        control::status(node, &c.member).await
    });
    let answers = futures::future::join_all(statuses).await;
    for (candidate, status) in candidates.iter_mut().zip(answers) {
        candidate.received = status.map(|s| s.received);
    }
    candidates
}

/// The members that this process has seen registered, and those that the record names besides.
fn known<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    record: &PrimaryRecord,
) -> Vec<PromotionCandidate> {
    let view = node.view.borrow();
    let now = clock::now();
    let members = view.known_members(service).into_iter();
    let mut candidates: Vec<PromotionCandidate> = members
        .map(|(id, entry)| PromotionCandidate {
            member: id.clone(),
            eligible: !entry.draining
                && view.registered(id).is_some()
                && !view.is_evacuated(&entry.data_centre, now),
            received: None,
        })
        .collect();
    let registered = view.registered_of(service);
    for missing in service_members::missing(&record.members, &registered) {
        if candidates.iter().all(|c| c.member != missing.member) {
            candidates.push(PromotionCandidate {
                member: missing.member.clone(),
                eligible: false,
                received: None,
            });
        }
    }
    candidates.retain(|c| c.member != record.primary);
    candidates
}
