//! Monitors the primaries of all services and starts a replacement when needed.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::Either;
use futures::stream::FuturesUnordered;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::rendezvous;
use rand::seq::SliceRandom;

use crate::clock;
use crate::failover::promoter;
use crate::failover::repair_schedule::RepairSchedule;
use crate::member::control;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::model::kind::ObjectKind;
use crate::model::known_member::KnownMember;
use crate::model::object::Content;
use crate::model::primary_record::PrimaryChange;
use crate::model::primary_record::PrimaryRecord;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::failover_trigger::FailoverTrigger;
use crate::policy::failover_trigger::Observation;
use crate::policy::service_members;

/// Interval of the checks; well below the time after which a primary counts as failed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of the call to the primary's home host, which answers at once while there is traffic.
const HOME_CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the calls to other hosts, which includes the time for a host to ask the primary.
const REACH_CALL_TIMEOUT: Duration = Duration::from_millis(450);
/// Age of the view up to which a host replaces primaries. Above the age at which a host in contact
/// with the others learns of changes.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2500);
/// Hosts that stand by for each service, including the one that monitors it.
const MONITOR_COUNT: usize = 3;
/// Pause between the calls of a host that stands by.
const PREDECESSOR_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of a call to the host that monitors a service, above the time in which the mesh finds a
/// silent connection.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of hosts that are asked whether they reach a primary that its home does not reach. If
/// half of the hosts are cut off from it, all of them are in 1 of 4096 cases.
const REACH_SAMPLE: usize = 12;
/// A change whose holder may still be working on it is taken over after the maximum age of the
/// primary record plus this time, which exceeds the duration of an undisturbed change.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(2500);

/// Monitors all services until the process ends. Each service has its own task, so that the change
/// of one primary does not delay that of another.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let mut monitored: BTreeSet<String> = BTreeSet::new();
    loop {
        let configuration = node.configuration();
        let services = configuration.iter().flat_map(|c| c.services.keys());
        for service in services {
            if monitored.insert(service.clone()) {
                tokio::task::spawn_local(monitor(node.clone(), service.clone()));
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Monitors the primary of one service while this host is responsible for the service.
async fn monitor<P: Platform>(node: Rc<Node<P>>, service: String) {
    let mut trigger = FailoverTrigger::default();
    let mut change = None;
    let mut repair = RepairSchedule::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let known = node.configuration();
        let exists = known.is_some_and(|c| c.services.contains_key(&service));
        let ranking = monitors(&node, &service);
        let rank = ranking.iter().position(|h| *h == node.settings.host);
        if !exists || node.is_stopping() || rank != Some(0) || !has_current_view(&node) {
            trigger = FailoverTrigger::default();
            change = None;
            if let Some(rank) = rank.filter(|_| exists) {
                if !node.is_stopping() && has_current_view(&node) {
                    repair.run(&node, &service, rank).await;
                }
                check_predecessors(&node, &ranking[..rank]).await;
            }
            continue;
        }
        if repair.run(&node, &service, 0).await {
            continue;
        }
        check_primary(&node, &service, &mut trigger, &mut change).await;
    }
}

/// Whether this host knows the present records. A host that is cut off reaches no primary,
/// and would begin to replace one as soon as it reaches the store again.
fn has_current_view<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let view = node.view.borrow();
    let age = view.age(&[ObjectKind::Primaries], clock::now());
    age.is_some_and(|age| age <= MAX_VIEW_AGE)
}

/// Hosts that monitor a service, in order: the next one does if the first is not reached.
fn monitors<P: Platform>(node: &Rc<Node<P>>, service: &str) -> Vec<HostId> {
    let hosts = node.hosts();
    let names = hosts.duty.iter().map(String::as_str);
    rendezvous::ranking(service, names, MONITOR_COUNT)
}

/// Calls the hosts that would monitor a service before this one, so that their loss is noticed.
async fn check_predecessors<P: Platform>(node: &Rc<Node<P>>, hosts: &[HostId]) {
    // A connection without an answer is closed, which removes the host from the live ones.
    let calls = hosts
        .iter()
        .map(|h| node.mesh.call(h, Call::Ping, PREDECESSOR_TIMEOUT));
    futures::future::join_all(calls).await;
    tokio::time::sleep(PREDECESSOR_INTERVAL).await;
}

/// Checks the primary once and replaces it if needed.
async fn check_primary<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    trigger: &mut FailoverTrigger,
    pending_change: &mut Option<(Revision, Duration)>,
) {
    let now = clock::now();
    let found = {
        let view = node.view.borrow();
        view.primary(service).map(|(r, rev)| (r.clone(), rev))
    };
    let Some((record, revision)) = found else {
        create_record(node, service).await;
        return;
    };
    if let Some(change) = &record.change {
        let since = match *pending_change {
            Some((known, since)) if known == revision => since,
            _ => now,
        };
        *pending_change = Some((revision, since));
        let bound = node.settings.bounds.max_primary_record_age() + TAKEOVER_MARGIN;
        let ended = holder_ended(node, change);
        if ended || now.saturating_sub(since) > bound {
            promoter::replace(node, service, record, revision, !ended).await;
        }
        return;
    }
    *pending_change = None;
    if record_members(node, service, &record, revision).await {
        return;
    }
    let seen = observe(node, service, &record).await;
    if let Some(reason) = trigger.observe(&record.primary, seen, now, clock::now()) {
        let primary = &record.primary;
        tracing::warn!(
            event = 650,
            service,
            primary,
            ?reason,
            ?seen,
            "replacing the primary"
        );
        *trigger = FailoverTrigger::default();
        promoter::replace(node, service, record, revision, false).await;
    } else if seen.reachable && node.is_synchronous(service) {
        // Processes that have ended cannot report which commits they acknowledged.
        let since = node.known_hosts_since();
        node.floors.observe_since(node, service, since).await;
    }
}

/// Returns whether the process that started a change is certainly no longer working on it: either
/// it is this process, whose attempt has ended, or a different process now runs on its host.
fn holder_ended<P: Platform>(node: &Rc<Node<P>>, change: &PrimaryChange) -> bool {
    if change.holder == node.settings.host {
        return true;
    }
    let view = node.view.borrow();
    let present = view.host(&change.holder);
    present.is_some_and(|h| h.incarnation != change.incarnation)
}

async fn observe<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    record: &PrimaryRecord,
) -> Observation {
    let (registered, draining, evacuated, says_replica) = {
        let view = node.view.borrow();
        let entry = view.registered(&record.primary);
        let evacuated = view
            .member(&record.primary, clock::now())
            .is_some_and(|e| view.is_evacuated(&e.data_centre, clock::now()));
        (
            entry.is_some(),
            entry.is_some_and(|e| e.draining),
            evacuated,
            entry.is_some_and(|e| !e.primary),
        )
    };
    let is_leaving = draining || evacuated;
    // Registrations lag behind, for example after a change of primary.
    let demoted = says_replica && !is_leaving && is_replica(node, &record.primary).await;
    Observation {
        registered,
        draining,
        evacuated,
        reachable: is_leaving || is_reachable(node, service, &record.primary).await,
        demoted,
    }
}

/// Whether a member answers that it is a replica.
async fn is_replica<P: Platform>(node: &Rc<Node<P>>, member: &str) -> bool {
    let status = control::status(node, member).await;
    status.is_some_and(|s| !s.primary)
}

/// Returns whether this host or another one can reach the primary.
async fn is_reachable<P: Platform>(node: &Rc<Node<P>>, service: &str, primary: &str) -> bool {
    let home = node.home(primary, |_| true);
    let own = &node.settings.host;
    // The home host usually knows from its traffic, so that one call is enough.
    let reached = match &home {
        Some(home) if home != own => {
            host_can_reach_primary(node, home, service, HOME_CALL_TIMEOUT).await
        }
        _ => control::can_reach_primary(node, service).await,
    };
    if reached {
        return true;
    }
    let mut others: Vec<HostId> = node.live_hosts().into_iter().filter(|h| h != own).collect();
    others.shuffle(&mut rand::rng());
    others.truncate(REACH_SAMPLE);
    let calls = others
        .iter()
        .map(|h| host_can_reach_primary(node, h, service, REACH_CALL_TIMEOUT));
    let mut answers: FuturesUnordered<_> = calls.collect();
    // A separate task, so that it completes even if its result is not needed: a cancelled request
    // closes its connection.
    let local_check = {
        let (node, service) = (node.clone(), service.to_owned());
        tokio::task::spawn_local(async move { control::can_reach_primary(&node, &service).await })
    };
    let local = async { local_check.await.unwrap_or(false) };
    let remote = async {
        while let Some(reached) = answers.next().await {
            if reached {
                return true;
            }
        }
        false
    };
    futures::pin_mut!(local, remote);
    match futures::future::select(local, remote).await {
        Either::Left((reached, rest)) => reached || rest.await,
        Either::Right((reached, rest)) => reached || rest.await,
    }
}

/// Asks a host whether it can reach the primary.
async fn host_can_reach_primary<P: Platform>(
    node: &Rc<Node<P>>,
    host: &str,
    service: &str,
    limit: Duration,
) -> bool {
    let call = Call::PrimaryReachable {
        service: service.to_owned(),
    };
    let answer = node.mesh.call(host, call, limit).await;
    matches!(answer, Ok(Response::PrimaryReachable(true)))
}

/// Creates the primary record of a service that has none yet.
async fn create_record<P: Platform>(node: &Rc<Node<P>>, service: &str) {
    if node
        .view
        .borrow()
        .age(&[ObjectKind::Primaries], clock::now())
        .is_none()
    {
        return;
    }
    let claimants: Vec<String> = {
        let view = node.view.borrow();
        let members = view.members(service, clock::now());
        let claimants = members.into_iter().filter(|(_, m)| m.primary);
        claimants.map(|(id, _)| id.clone()).collect()
    };
    let mut best = None;
    for member in claimants {
        if let Some(status) = control::status(node, &member).await
            && status.primary
        {
            best = best.max(Some((status.received.term, member)));
        }
    }
    let Some((term, primary)) = best else { return };
    let record = PrimaryRecord {
        primary,
        change: None,
        members: members_to_record(node, service, &[]),
        era: node.view.borrow().primaries_era(),
        term,
    };
    if write_record(node, service, &record, None).await {
        let primary = &record.primary;
        tracing::info!(event = 652, service, primary, "primary recorded");
    }
}

/// Members that the record of a service is to list, given those that it lists now. None where no
/// commit waits for a replica: any registered member may be promoted then.
pub fn members_to_record<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    known: &[KnownMember],
) -> Vec<KnownMember> {
    if !node.is_synchronous(service) {
        return Vec::new();
    }
    let registered = node.view.borrow().registered_of(service);
    service_members::merge(known, &registered)
}

/// Brings the members in the record up to date, for hosts that have not seen the registration of
/// each. Returns whether the record was written.
async fn record_members<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    record: &PrimaryRecord,
    revision: Revision,
) -> bool {
    let members = members_to_record(node, service, &record.members);
    if members == record.members {
        return false;
    }
    let count = members.len();
    let record = PrimaryRecord {
        members,
        ..record.clone()
    };
    let written = write_record(node, service, &record, Some(revision)).await;
    if written {
        tracing::info!(event = 665, service, count, "members recorded");
    }
    written
}

/// Writes a record in which no change is open, if the present one has the revision `expected`.
/// Returns false if that failed; it is tried again with the next check.
pub async fn write_record<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    record: &PrimaryRecord,
    expected: Option<Revision>,
) -> bool {
    let content = Content::Primary(record.clone());
    let written = node
        .store
        .put(ObjectKind::Primaries, service, expected, &content);
    match written.await {
        Ok(object) => {
            let mut view = node.view.borrow_mut();
            view.on_written(ObjectKind::Primaries, object, clock::now());
            drop(view);
            node.on_view_changed();
            true
        }
        Err(error) => {
            tracing::warn!(event = 653, service, %error, "could not record the primary");
            false
        }
    }
}
