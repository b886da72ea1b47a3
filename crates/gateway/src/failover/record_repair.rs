//! Repairs the record of a primary after the store has come back from an older copy.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;

use crate::clock;
use crate::failover::primary_monitor;
use crate::failover::promoter;
use crate::member::control;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::model::host_knowledge::HostKnowledge;
use crate::model::known_member::KnownMember;
use crate::model::primary_record::PrimaryChange;
use crate::model::primary_record::PrimaryRecord;
use crate::model::store_revision::Era;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::record_repair;
use crate::policy::record_repair::MemberReport;
use crate::policy::record_repair::Repair;
use crate::policy::record_repair::Situation;
use crate::policy::service_members;

/// Timeout of the call to another host, which answers from memory.
const CALL_TIMEOUT: Duration = Duration::from_millis(450);
/// Pause after an attempt that could not decide, since each asks all hosts.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// What this host knows of a service's primary from before the era `era`. From now on it orders no
/// promotion by a record of a former era.
pub fn own_knowledge<P: Platform>(node: &Node<P>, service: &str, era: Era) -> HostKnowledge {
    let mut view = node.view.borrow_mut();
    view.on_era(era, clock::now());
    HostKnowledge {
        host: node.settings.host.clone(),
        incarnation: node.incarnation,
        record: view.record_before(service, era),
        blocked: node.primaries.blocked(service),
        former_era: view.era_before(era),
    }
}

/// Repairs the record of a service if enough is known. Returns the time until the next attempt.
pub async fn run<P: Platform>(node: &Rc<Node<P>>, service: &str) -> Duration {
    let (era, stored) = {
        let view = node.view.borrow();
        let stored = view.stored_primary(service);
        (
            view.primaries_era(),
            stored.map(|(record, revision)| (record.clone(), revision)),
        )
    };
    let mut situation = Situation {
        era,
        restored: stored.as_ref().map(|(record, _)| record.clone()),
        hosts: ask_hosts(node, service, era).await,
        has_ended_hosts: has_ended_hosts(node),
        settled: node.era_settled(),
        members: Vec::new(),
    };
    let known = known_members(&situation);
    if situation.settled {
        situation.members = ask_members(node, service, &known).await;
    }
    let repair = record_repair::decide(&situation);
    let answered = situation.hosts.iter().flatten().count();
    let asked = situation.hosts.len();
    tracing::warn!(
        event = 666,
        service,
        era,
        asked,
        answered,
        settled = situation.settled,
        ?repair,
        "record of a primary came back from a copy"
    );
    let members = primary_monitor::members_to_record(node, service, &known);
    let (primary, term, change) = match repair {
        Repair::Wait => {
            node.metrics.count_repair("waited");
            return RETRY_PAUSE;
        }
        Repair::Record { primary, term } => (primary, term, None),
        Repair::Continue {
            primary,
            candidate,
            forgotten,
        } => {
            let change = PrimaryChange {
                holder: node.settings.host.clone(),
                incarnation: node.incarnation,
                candidate,
                forgotten,
            };
            (primary, 0, Some(change))
        }
    };
    let record = PrimaryRecord {
        primary,
        change,
        members,
        era,
        term,
    };
    let expected = stored.map(|(_, revision)| revision);
    if !primary_monitor::write_record(node, service, &record, expected).await {
        node.metrics.count_repair("not_written");
        return RETRY_PAUSE;
    }
    let outcome = match record.change {
        Some(_) => "continued",
        None => "recorded",
    };
    node.metrics.count_repair(outcome);
    let (primary, changing) = (&record.primary, record.change.is_some());
    tracing::info!(
        event = 667,
        service,
        era,
        primary,
        changing,
        "record of a primary repaired"
    );
    if changing {
        continue_change(node, service).await;
    }
    Duration::ZERO
}

/// Whether the process of a host ended so recently that an order which it sent may still take
/// effect.
fn has_ended_hosts<P: Platform>(node: &Node<P>) -> bool {
    let view = node.view.borrow();
    let last = view
        .processes()
        .last_end()
        .max(view.processes().last_unexpected_removal());
    last.is_some_and(|at| clock::now() < at + promoter::order_limit(node))
}

/// Carries out the change in the record that this host has just written. It may not be the host that
/// monitors the service.
async fn continue_change<P: Platform>(node: &Rc<Node<P>>, service: &str) {
    let stored = {
        let view = node.view.borrow();
        let stored = view.stored_primary(service);
        stored.map(|(record, revision)| (record.clone(), revision))
    };
    if let Some((record, revision)) = stored {
        promoter::replace(node, service, record, revision, false).await;
    }
}

/// Asks all registered hosts, and this one, for what they know from before the present era.
async fn ask_hosts<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    era: Era,
) -> Vec<Option<HostKnowledge>> {
    let mut hosts: Vec<HostId> = node.view.borrow().host_ids();
    hosts.retain(|h| *h != node.settings.host);
    let calls = hosts.iter().map(async |host| {
        let call = Call::FormerRecord {
            service: service.to_owned(),
            era,
        };
        match node.mesh.call(host, call, CALL_TIMEOUT).await {
            Ok(Response::FormerRecord(knowledge)) => Some(*knowledge),
            _ => None,
        }
    });
    let mut answers = futures::future::join_all(calls).await;
    answers.push(Some(own_knowledge(node, service, era)));
    answers
}

/// Members that any record names, which may hold acknowledged commits.
fn known_members(situation: &Situation) -> Vec<KnownMember> {
    let known = situation.hosts.iter().flatten();
    let records = known.filter_map(|h| h.record.as_ref().map(|(record, _)| record));
    let lists = records.chain(&situation.restored).map(|r| &r.members);
    lists.fold(Vec::new(), |all, list| service_members::merge(&all, list))
}

/// Asks all members of a service for their state. One without a registration does not answer.
async fn ask_members<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    known: &[KnownMember],
) -> Vec<Option<MemberReport>> {
    let members: Vec<MemberId> = {
        let view = node.view.borrow();
        let registered = view.registered_of(service);
        let missing = service_members::missing(known, &registered).map(|k| k.member.clone());
        let seen = view.known_members(service).into_iter();
        let mut members: Vec<MemberId> = seen.map(|(id, _)| id.clone()).chain(missing).collect();
        members.sort();
        members.dedup();
        members
    };
    let statuses = members.into_iter().map(async |member| {
        let status = control::status(node, &member).await?;
        Some(MemberReport {
            member,
            primary: status.primary,
            term: status.received.term,
        })
    });
    futures::future::join_all(statuses).await
}
