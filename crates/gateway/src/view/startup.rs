//! Gets the first view of a host that starts.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use magnoliahatch_core::ids::HostId;
use rand::seq::SliceRandom;

use crate::clock;
use crate::mesh::frame::SourceRole;
use crate::model::kind::ObjectKind;
use crate::model::object::Content;
use crate::model::object::Object;
use crate::model::store_revision;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::backoff::Backoff;
use crate::policy::homes::Candidate;
use crate::policy::start_plan;
use crate::policy::start_plan::StartPlan;
use crate::view::follower;
use crate::view::registration;

/// At the first start of the whole system, time until the other hosts have registered.
const FIRST_REGISTRATION_TIME: Duration = Duration::from_millis(700);
/// How long peers are asked before this host reads the store itself.
const PEER_LIMIT: Duration = Duration::from_millis(700);
/// How long peers are asked for their configuration before this host reads the store. They answer
/// at once.
const CONFIGURATION_LIMIT: Duration = Duration::from_millis(300);
/// How long a peer may hold a request until its own view is complete.
const PEER_WAIT: Duration = Duration::from_millis(300);
/// Number of peers asked at the same time.
const PEER_COUNT: usize = 4;
/// Time after which a host that cannot be reached is replaced by the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Asks peers for their view if the fleet is large; then lets this host read the store.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    if node.settings.first_start {
        tokio::time::sleep(FIRST_REGISTRATION_TIME).await;
    }
    let page = read_page(&node).await;
    let local = local_hosts(&node, &page);
    let plan = start_plan::plan(&node.settings.host, &local);
    if let StartPlan::AskPeers(relays) = &plan {
        set_mesh_hosts(&node, &page);
        let others = local.into_iter().map(|c| c.host);
        let others = others.filter(|host| *host != node.settings.host);
        let asked = ask_peers(&node, relays, others.collect());
        // Without an answer this host reads the store.
        let _ = tokio::time::timeout(PEER_LIMIT, asked).await;
    }
    if plan == StartPlan::ReadStore && has_eras(&page) {
        // The store may have gone back to a configuration with keys that are withdrawn.
        set_mesh_hosts(&node, &page);
        let _ = tokio::time::timeout(CONFIGURATION_LIMIT, ask_configuration(&node, &page)).await;
    }
    let complete = node.view.borrow().is_complete(clock::now());
    tracing::info!(event = 686, ?plan, complete, "first view requested");
    node.admission.borrow_mut().on_started();
    registration::confirm_primaries(&node).await;
}

fn has_eras(page: &[Object]) -> bool {
    page.iter().any(|o| store_revision::era(o.revision) > 0)
}

/// Asks a few hosts for their view, which has the highest configuration that they have had.
async fn ask_configuration<P: Platform>(node: &Rc<Node<P>>, page: &[Object]) {
    let mut hosts: Vec<&str> = page.iter().map(|o| o.name.as_str()).collect();
    hosts.retain(|host| *host != node.settings.host);
    hosts.shuffle(&mut rand::rng());
    let asked = hosts.into_iter().take(PEER_COUNT);
    let calls = asked.map(|host| ask_peer(node, host, Duration::ZERO));
    futures::future::join_all(calls).await;
}

/// Reads a page of the list of hosts, trying again until the store answers.
async fn read_page<P: Platform>(node: &Rc<Node<P>>) -> Vec<Object> {
    let mut backoff = Backoff::default();
    let start = start_plan::page_start(&node.settings.host);
    loop {
        match node.store.page(ObjectKind::Hosts, start).await {
            Ok(page) => return page,
            Err(error) => {
                if !backoff.is_failing() {
                    tracing::warn!(event = 601, kind = ?ObjectKind::Hosts, %error, "store not reachable");
                }
                tokio::time::sleep(backoff.on_failure(rand::random())).await;
            }
        }
    }
}

/// Registered hosts of this host's data centre.
fn local_hosts<P: Platform>(node: &Rc<Node<P>>, page: &[Object]) -> Vec<Candidate> {
    let hosts = page.iter().filter_map(|o| match &o.content {
        Some(Content::Host(entry)) => Some((&o.name, entry)),
        _ => None,
    });
    hosts
        .filter(|(_, entry)| entry.data_centre == node.settings.data_centre)
        .map(|(name, entry)| Candidate {
            host: name.clone(),
            data_centre: entry.data_centre.clone(),
            region: node.settings.region(&entry.data_centre).to_owned(),
            capacity: entry.capacity,
        })
        .collect()
}

/// Makes the hosts of the page known to the mesh, whatever process runs there now: in a restart of
/// the fleet the entries may be older than the processes.
fn set_mesh_hosts<P: Platform>(node: &Rc<Node<P>>, page: &[Object]) {
    let hosts = page.iter().filter_map(|o| match &o.content {
        Some(Content::Host(entry)) if o.name != node.settings.host => Some((&o.name, entry.mesh)),
        _ => None,
    });
    node.mesh.set_unverified_hosts(hosts);
}

/// Asks relays and other hosts of the data centre in turn, a few at a time: in a restart of the
/// fleet some of them are not running yet, and calls to those take long to fail.
async fn ask_peers<P: Platform>(node: &Rc<Node<P>>, relays: &[HostId], mut others: Vec<HostId>) {
    others.shuffle(&mut rand::rng());
    let mut relays = relays.iter().cycle();
    let mut others = others.iter().cycle();
    let mut calls = FuturesUnordered::new();
    for index in 0.. {
        let peer = match index % 2 {
            0 => relays.next(),
            _ => others.next(),
        };
        calls.extend(peer.map(|host| ask_peer(node, host, PEER_WAIT)));
        if calls.len() < PEER_COUNT {
            continue;
        }
        calls.next().await;
        if node.view.borrow().is_complete(clock::now()) {
            return;
        }
    }
}

/// Asks one host. Takes at least a moment, so that a host that cannot be reached is not asked again
/// at once.
async fn ask_peer<P: Platform>(node: &Rc<Node<P>>, host: &str, wait: Duration) {
    let known = node.view.borrow().content_revisions();
    let call = follower::request_view(node, host, SourceRole::Peer, known, wait);
    futures::join!(call, tokio::time::sleep(RETRY_PAUSE));
}
