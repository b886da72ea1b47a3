//! Gets the first view of a host that starts.

use std::rc::Rc;
use std::time::Duration;

use rand::seq::SliceRandom;

use crate::clock;
use crate::model::kind::ObjectKind;
use crate::model::object::Content;
use crate::model::object::FirstPage;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::backoff::Backoff;
use crate::policy::homes::Candidate;
use crate::policy::start_plan;
use crate::policy::start_plan::StartPlan;
use crate::view::follower;

/// At the first start of the whole system, time until the other hosts have registered.
const FIRST_REGISTRATION_TIME: Duration = Duration::from_millis(700);
/// How long peers are asked before this host reads the store itself.
const PEER_LIMIT: Duration = Duration::from_millis(900);
/// How long a peer may hold a request until its own view is complete.
const PEER_WAIT: Duration = Duration::from_millis(300);
/// Number of peers asked at the same time.
const PEER_COUNT: usize = 2;
/// Pause after no peer answered.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Asks peers for their view if the fleet is large; then lets this host read the store.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    if node.settings.first_start {
        tokio::time::sleep(FIRST_REGISTRATION_TIME).await;
    }
    let page = first_page(&node).await;
    let hosts = candidates(&node, &page);
    let plan = start_plan::plan(&node.settings.host, &hosts, page.complete);
    if let StartPlan::AskPeers(peers) = &plan {
        set_mesh_hosts(&node, &page);
        ask_peers(&node, peers).await;
    }
    let complete = node.view.borrow().is_complete(clock::now());
    tracing::info!(event = 686, ?plan, complete, "first view requested");
    node.admission.borrow_mut().on_started();
}

/// Reads the first page of the list of hosts, trying again until the store answers.
async fn first_page<P: Platform>(node: &Rc<Node<P>>) -> FirstPage {
    let mut backoff = Backoff::default();
    loop {
        match node.store.first_page(ObjectKind::Hosts).await {
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

fn candidates<P: Platform>(node: &Rc<Node<P>>, page: &FirstPage) -> Vec<Candidate> {
    let hosts = page.objects.iter().filter_map(|o| match &o.content {
        Some(Content::Host(entry)) => Some((&o.name, entry)),
        _ => None,
    });
    hosts
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
fn set_mesh_hosts<P: Platform>(node: &Rc<Node<P>>, page: &FirstPage) {
    let hosts = page.objects.iter().filter_map(|o| match &o.content {
        Some(Content::Host(entry)) if o.name != node.settings.host => Some((&o.name, entry.mesh)),
        _ => None,
    });
    node.mesh.set_unverified_hosts(hosts);
}

async fn ask_peers<P: Platform>(node: &Rc<Node<P>>, peers: &[String]) {
    let deadline = clock::now() + PEER_LIMIT;
    let is_complete = || node.view.borrow().is_complete(clock::now());
    let mut peers = peers.to_vec();
    while clock::now() < deadline && !is_complete() {
        peers.shuffle(&mut rand::rng());
        let known = node.view.borrow().content_revisions();
        let asked = peers.iter().take(PEER_COUNT);
        let calls = asked.map(|host| follower::request_view(node, host, known.clone(), PEER_WAIT));
        let answers = futures::future::join_all(calls).await;
        if !answers.contains(&true) {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
