//! Watches the primaries of all services.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::Either;
use futures::stream::FuturesUnordered;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::rendezvous;

use crate::clock;
use crate::duty::promoter;
use crate::member::control;
use crate::mesh::frame::Call;
use crate::mesh::frame::Return;
use crate::model::kind::Kind;
use crate::model::object::Content;
use crate::model::primary_record::PrimaryChange;
use crate::model::primary_record::PrimaryRecord;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::succession::Observation;
use crate::policy::succession::Succession;

/// Interval of the watch; a small part of the time after which a primary counts as failed.
const INTERVAL: Duration = Duration::from_millis(200);
/// Limit of the question to the home of the primary. It answers at once while there is traffic.
const HOME_LIMIT: Duration = Duration::from_millis(150);
/// Limit of a question to all hosts, which includes a question to the primary.
const REACH_LIMIT: Duration = Duration::from_millis(450);
/// A change whose holder may still run is taken over after the bound on the view's age and this,
/// which is above the time that an undisturbed change takes.
const HOLDER_SILENCE: Duration = Duration::from_millis(2500);

/// Watches until the process ends. Each service has its own task, so that a change of one does not
/// delay another's.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let mut watched: BTreeSet<String> = BTreeSet::new();
    loop {
        let configuration = node.configuration();
        let services = configuration.iter().flat_map(|c| c.services.keys());
        for service in services {
            if watched.insert(service.clone()) {
                tokio::task::spawn_local(watch(node.clone(), service.clone()));
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Watches one service's primary while this host is responsible for it.
async fn watch<P: Platform>(node: Rc<Node<P>>, service: String) {
    let mut succession = Succession::default();
    let mut change = None;
    loop {
        tokio::time::sleep(INTERVAL).await;
        let known = node.configuration();
        let exists = known.is_some_and(|c| c.services.contains_key(&service));
        if !exists || node.is_stopping() || !is_owner(&node, &service) {
            succession = Succession::default();
            change = None;
            continue;
        }
        check(&node, &service, &mut succession, &mut change).await;
    }
}

fn is_owner<P: Platform>(node: &Rc<Node<P>>, service: &str) -> bool {
    let hosts: Vec<HostId> = node.live_hosts();
    let owner = rendezvous::owner(service, hosts.iter().map(String::as_str));
    owner == Some(node.settings.host.as_str())
}

async fn check<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    succession: &mut Succession,
    seen_change: &mut Option<(Revision, Duration)>,
) {
    let now = clock::now();
    let found = {
        let view = node.view.borrow();
        view.primary(service).map(|(r, rev)| (r.clone(), rev))
    };
    let Some((record, revision)) = found else {
        create(node, service).await;
        return;
    };
    if let Some(change) = &record.change {
        let since = match *seen_change {
            Some((known, since)) if known == revision => since,
            _ => now,
        };
        *seen_change = Some((revision, since));
        let bound = node.settings.bounds.primary_view() + HOLDER_SILENCE;
        let ended = holder_ended(node, change);
        if ended || now.saturating_sub(since) > bound {
            promoter::replace(node, service, record, revision, !ended).await;
        }
        return;
    }
    *seen_change = None;
    let seen = observe(node, service, &record).await;
    if let Some(reason) = succession.observe(&record.primary, seen, now, clock::now()) {
        let primary = &record.primary;
        tracing::warn!(
            event = 650,
            service,
            primary,
            ?reason,
            ?seen,
            "primary is replaced"
        );
        *succession = Succession::default();
        promoter::replace(node, service, record, revision, false).await;
    }
}

/// Whether the process that began a change certainly no longer works on it: it is this one, whose
/// attempt has ended, or another process runs on its host now.
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
    let (registered, draining, evacuated) = {
        let view = node.view.borrow();
        let entry = view.registered(&record.primary);
        let evacuated = view
            .member(&record.primary, clock::now())
            .is_some_and(|e| view.evacuated(&e.data_centre));
        (
            entry.is_some(),
            entry.is_some_and(|e| e.draining),
            evacuated,
        )
    };
    let leaves = draining || evacuated;
    Observation {
        registered,
        draining,
        evacuated,
        reachable: leaves || reachable(node, service, &record.primary).await,
    }
}

/// Whether this host or another one has had an answer from the primary.
async fn reachable<P: Platform>(node: &Rc<Node<P>>, service: &str, primary: &str) -> bool {
    let home = node.home(primary, |_| true);
    let own = &node.settings.host;
    // The home knows from its traffic, so that usually one call is enough.
    let first = match &home {
        Some(home) if home != own => ask(node, home, service, HOME_LIMIT).await,
        _ => control::reaches_primary(node, service).await,
    };
    if first {
        return true;
    }
    let others: Vec<HostId> = node.live_hosts().into_iter().filter(|h| h != own).collect();
    let asked = others.iter().map(|h| ask(node, h, service, REACH_LIMIT));
    let mut answers: FuturesUnordered<_> = asked.collect();
    // Runs to its end also if it is not waited for: a question that is dropped costs its connection.
    let own_question = {
        let (node, service) = (node.clone(), service.to_owned());
        tokio::task::spawn_local(async move { control::reaches_primary(&node, &service).await })
    };
    let local = async { own_question.await.unwrap_or(false) };
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

async fn ask<P: Platform>(node: &Rc<Node<P>>, host: &str, service: &str, limit: Duration) -> bool {
    let call = Call::Reach {
        service: service.to_owned(),
    };
    let answer = node.mesh.call(host, call, limit).await;
    matches!(answer, Ok(Return::Reach(true)))
}

/// Records the primary of a service that has none yet.
async fn create<P: Platform>(node: &Rc<Node<P>>, service: &str) {
    if node
        .view
        .borrow()
        .age(&[Kind::Primaries], clock::now())
        .is_none()
    {
        return;
    }
    let claims: Vec<String> = {
        let view = node.view.borrow();
        let members = view.members(service, clock::now());
        let claims = members.into_iter().filter(|(_, m)| m.primary);
        claims.map(|(id, _)| id.clone()).collect()
    };
    let mut best = None;
    for member in claims {
        if let Some(status) = control::status(node, &member).await
            && status.primary
        {
            best = best.max(Some((status.received.term, member)));
        }
    }
    let Some((_, primary)) = best else { return };
    let record = PrimaryRecord {
        primary,
        change: None,
    };
    let content = Content::Primary(record.clone());
    match node
        .store
        .put(Kind::Primaries, service, None, &content)
        .await
    {
        Ok(object) => {
            let primary = &record.primary;
            tracing::info!(event = 652, service, primary, "primary recorded");
            let mut view = node.view.borrow_mut();
            view.on_written(Kind::Primaries, object, clock::now());
            drop(view);
            node.on_view_changed();
        }
        Err(error) => tracing::warn!(event = 653, service, %error, "primary not recorded"),
    }
}
