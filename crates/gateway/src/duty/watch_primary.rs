//! Watches the primaries of all services.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

use crate::clock;
use crate::duty::promoter;
use crate::mesh::frame::Call;
use crate::mesh::frame::Return;
use crate::model::kind::Kind;
use crate::model::object::Content;
use crate::model::primary_record::PrimaryRecord;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::succession::Observation;
use crate::policy::succession::Succession;

/// Interval of the watch; a small part of the time after which a primary counts as failed.
const INTERVAL: Duration = Duration::from_millis(200);
/// An answer younger than this shows that the primary is reached.
const ANSWER_AGE: Duration = Duration::from_millis(600);
/// Limit of a question to another host, which includes a question to the primary.
const REACH_LIMIT: Duration = Duration::from_millis(900);
/// A change whose holder has been silent this long, after the bound on the view's age, is taken
/// over.
const HOLDER_SILENCE: Duration = Duration::from_millis(2500);

/// Watches until the process ends.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let mut watched: BTreeMap<String, Succession> = BTreeMap::new();
    let mut changes: BTreeMap<String, (u64, Duration)> = BTreeMap::new();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(configuration) = node.configuration() else {
            continue;
        };
        for service in configuration.services.keys() {
            if node.is_stopping() || !is_owner(&node, service) {
                watched.remove(service);
                continue;
            }
            check(&node, service, &mut watched, &mut changes).await;
        }
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
    watched: &mut BTreeMap<String, Succession>,
    changes: &mut BTreeMap<String, (u64, Duration)>,
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
    if record.change.is_some() {
        let entry = changes.entry(service.to_owned()).or_insert((revision, now));
        if entry.0 != revision {
            *entry = (revision, now);
        }
        let bound = node.settings.bounds.primary_view + HOLDER_SILENCE;
        if now.saturating_sub(entry.1) > bound {
            promoter::replace(node, service, record, revision, true).await;
        }
        return;
    }
    changes.remove(service);
    let seen = observe(node, service, &record).await;
    let succession = watched.entry(service.to_owned()).or_default();
    let reason = succession.observe(&record.primary, seen, clock::now());
    if let Some(reason) = reason {
        let primary = &record.primary;
        tracing::warn!(
            event = 650,
            service,
            primary,
            ?reason,
            ?seen,
            "primary is replaced"
        );
        watched.remove(service);
        promoter::replace(node, service, record, revision, false).await;
    }
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
    if let Some(pool) = node.pools.find(primary) {
        let recent = |at| clock::now().saturating_sub(at) < ANSWER_AGE;
        if pool.answered().is_some_and(recent) {
            return true;
        }
    }
    let home = node.home(primary, |_| true);
    let own = &node.settings.host;
    let others = node.live_hosts();
    // The home answers without a question to the primary while there is traffic.
    if let Some(home) = home.filter(|h| h != own)
        && ask(node, &home, service).await
    {
        return true;
    }
    if node.status(primary).await.is_some() {
        return true;
    }
    let asked = others.iter().filter(|h| *h != own);
    let answers = futures::future::join_all(asked.map(|h| ask(node, h, service))).await;
    answers.into_iter().any(|reached| reached)
}

async fn ask<P: Platform>(node: &Rc<Node<P>>, host: &str, service: &str) -> bool {
    let call = Call::Reach {
        service: service.to_owned(),
    };
    let answer = node.mesh.call(host, call, REACH_LIMIT).await;
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
        if let Some(status) = node.status(&member).await
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
