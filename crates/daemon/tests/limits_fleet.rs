//! Tests of limit enforcement by several hosts that are connected by the control mesh, with faults.

mod limits_support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use limits_support::certificates;
use limits_support::fleet::view;
use limits_support::node::History;
use limits_support::node::Node;
use limits_support::node::addresses;
use limits_support::store::Store;
use limits_support::wait_until;
use magnoliahatch_core::coordinator::Division;
use magnoliahatch_core::coordinator::SeatRule;
use magnoliahatch_daemon::limits::limit_error::LimitError;
use magnoliahatch_daemon::limits::settings::LimitSettings;
use tempfile::TempDir;

const RATE: f64 = 400.0;
const BURST: f64 = 40.0;
const CONNECTIONS: u32 = 8;
/// Seconds by which the test may record a statement later than it was admitted.
const RECORDING_DELAY: f64 = 0.05;

/// Hosts that share one store. A host that was killed has no node.
struct Fleet {
    tls: TempDir,
    store: Store,
    settings: LimitSettings,
    nodes: Vec<Option<Node>>,
    history: History,
    control_addresses: BTreeMap<String, SocketAddr>,
}

impl Fleet {
    async fn start(count: usize, settings: LimitSettings) -> Self {
        let names: Vec<String> = (0..count).map(|i| format!("host-{i}")).collect();
        let tls = TempDir::new().unwrap();
        certificates::write(tls.path(), &names);
        let mut fleet = Self {
            tls,
            store: Store::bind().await,
            settings,
            nodes: Vec::new(),
            history: History::default(),
            control_addresses: BTreeMap::new(),
        };
        fleet.nodes.resize_with(count, || None);
        for index in 0..count {
            fleet.launch(index);
        }
        fleet.all_seated().await;
        fleet
    }

    fn launch(&mut self, index: usize) {
        let name = format!("host-{index}");
        let url = self.store.url();
        let node = Node::spawn(
            &name,
            self.tls.path(),
            &url,
            self.settings,
            self.history.clone(),
        );
        self.nodes[index] = Some(node);
        self.control_addresses
            .extend(addresses(self.nodes.iter().flatten()));
        let view = Arc::new(view(RATE, BURST, CONNECTIONS, &self.control_addresses));
        for node in self.nodes.iter().flatten() {
            node.configure(&view);
        }
    }

    fn node(&mut self, index: usize) -> &mut Node {
        self.nodes[index].as_mut().unwrap()
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].take().unwrap().kill();
    }

    async fn all_seated(&self) {
        let seated = || {
            self.nodes
                .iter()
                .flatten()
                .all(|n| n.parts.limits.seat() == (true, true))
        };
        wait_until("every host holds a seat", seated).await;
    }

    fn set_load(&self, loads: &[u32]) {
        for (node, load) in self.nodes.iter().zip(loads) {
            if let Some(node) = node {
                node.load.store(*load, Ordering::Relaxed);
            }
        }
    }

    fn admitted(&self) -> usize {
        self.history.lock().unwrap().len()
    }

    /// Measures the fraction of the contract's rate that is used within the next `seconds`.
    async fn used(&self, seconds: f64) -> f64 {
        let (start, before) = (Instant::now(), self.admitted());
        wait_until("the measurement", || {
            start.elapsed().as_secs_f64() >= seconds
        })
        .await;
        (self.admitted() - before) as f64 / RATE / start.elapsed().as_secs_f64()
    }

    /// Fails if the merged history exceeds rate x window + burst in any window.
    fn check_contract(&self) {
        let mut history = self.history.lock().unwrap().clone();
        history.sort_unstable();
        let burst = BURST + RATE * RECORDING_DELAY;
        let (mut tokens, mut last, mut least) = (burst, history[0], burst);
        for at in &history {
            tokens = (tokens + RATE * (*at - last).as_secs_f64()).min(burst) - 1.0;
            last = *at;
            least = least.min(tokens);
        }
        println!(
            "{} statements, at least {least:.1} of {burst} tokens left",
            history.len()
        );
        assert!(
            least >= 0.0,
            "the fleet exceeded the contract by {} statements",
            -least
        );
    }

    /// Frames sent, their bytes, bytes on the wire and seconds of processing, summed over all
    /// hosts.
    fn cost(&self) -> [f64; 4] {
        let mut sum = [0.0; 4];
        for node in self.nodes.iter().flatten() {
            let stats = node.parts.mesh.stats().snapshot();
            sum[0] += stats.sent as f64;
            sum[1] += stats.sent_bytes as f64;
            sum[2] += stats.wire_bytes as f64;
            sum[3] += (stats.busy + node.parts.limits.busy()).as_secs_f64();
        }
        sum
    }
}

/// Guards against idle hosts that keep a share of the rate which busy hosts need, both while the
/// store is available and during an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_moving_load_uses_the_contract_also_while_the_store_is_down() {
    let fleet = Fleet::start(4, LimitSettings::default()).await;
    for (case, loads) in [
        ("no load", [0, 0, 0, 0]),
        ("even", [20, 20, 20, 20]),
        ("on host 0", [40, 0, 0, 0]),
        ("store down, moved to host 2", [0, 0, 40, 0]),
        ("store down, moved to host 1", [0, 40, 0, 0]),
    ] {
        fleet.store.set_up(!case.starts_with("store down"));
        fleet.set_load(&loads);
        fleet.used(2.0).await;
        let before = fleet.cost();
        let used = fleet.used(3.0).await;
        let after = fleet.cost();
        let per = |i: usize| (after[i] - before[i]) / 3.0 / fleet.nodes.len() as f64;
        println!(
            "{case}: {:.1}% of the rate; per host and second {:.1} frames of {:.0} bytes, {:.0} \
             bytes on the wire, {:.2} ms of processing",
            used * 100.0,
            per(0),
            per(1),
            per(2),
            per(3) * 1e3
        );
        assert!(used > 0.9 || case == "no load", "{case}: {used}");
    }
    fleet.check_contract();
}

/// Guards against refusals while the organisation is within its rate, also while its load moves to
/// another host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_moving_load_of_90_percent_is_never_refused() {
    for division in [Division::Static, Division::Loans] {
        let settings = LimitSettings {
            division,
            ..LimitSettings::default()
        };
        let fleet = Fleet::start(4, settings).await;
        for busy in [0, 2, 1, 3] {
            for (index, node) in fleet.nodes.iter().flatten().enumerate() {
                let load = if index == busy { RATE * 0.9 } else { 0.0 };
                node.arrivals.store(load as u32, Ordering::Relaxed);
            }
            fleet.used(3.0).await;
        }
        let nodes = fleet.nodes.iter().flatten();
        let refused: u64 = nodes.map(|n| n.refused.load(Ordering::Relaxed)).sum();
        println!(
            "{division:?}: {} admitted, {refused} refused",
            fleet.admitted()
        );
        assert!(division == Division::Static || refused == 0);
        fleet.check_contract();
    }
}

/// Guards against a paused host that continues to use its old share when it resumes, and against a
/// seat that is never reassigned.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_host_loses_its_seat_and_takes_a_new_one() {
    let mut fleet = Fleet::start(4, LimitSettings::default()).await;
    fleet.set_load(&[20, 20, 20, 20]);
    fleet.used(1.0).await;
    fleet.node(3).pause();
    let seats = |fleet: &Fleet| {
        fleet.store.value("seats/all").unwrap()["seats"]
            .as_array()
            .unwrap()
            .len()
    };
    wait_until("the paused host's seat is removed", || seats(&fleet) == 3).await;
    let used = fleet.used(2.0).await;
    println!("three of four hosts: {:.1}% of the rate", used * 100.0);
    assert!(used > 0.9, "{used}");
    fleet.node(3).resume();
    wait_until("the host has a seat again", || seats(&fleet) == 4).await;
    fleet.all_seated().await;
    let before = fleet.node(3).admitted.load(Ordering::Relaxed);
    fleet.used(2.0).await;
    assert!(fleet.node(3).admitted.load(Ordering::Relaxed) > before + 100);
    fleet.check_contract();
}

/// Guards against a share that is used both before and after a restart, and against a restarted
/// host that cannot serve because the store is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_host_serves_again_while_the_store_is_down() {
    let mut fleet = Fleet::start(4, LimitSettings::default()).await;
    fleet.set_load(&[10, 10, 10, 40]);
    fleet.used(1.0).await;
    fleet.store.set_up(false);
    fleet.kill(3);
    fleet.set_load(&[0, 0, 0, 0]);
    fleet.launch(3);
    fleet.set_load(&[0, 0, 0, 40]);
    let started = Instant::now();
    wait_until(
        "the restarted host admits statements with borrowed tokens",
        || {
            fleet.nodes[3]
                .as_ref()
                .unwrap()
                .admitted
                .load(Ordering::Relaxed)
                > 100
        },
    )
    .await;
    println!(
        "100 statements with borrowed tokens {:?} after the restart",
        started.elapsed()
    );
    assert_eq!(fleet.node(3).parts.limits.seat(), (true, false));
    fleet.store.set_up(true);
    fleet.all_seated().await;
    fleet.set_load(&[20, 20, 20, 20]);
    fleet.used(2.0).await;
    let used = fleet.used(2.0).await;
    println!("after the store is back: {:.1}% of the rate", used * 100.0);
    assert!(used > 0.9, "{used}");
    fleet.check_contract();
}

/// Guards against a host that continues to serve with outdated keys and configuration although it
/// reaches neither the store nor its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_without_store_and_majority_refuses() {
    let mut fleet = Fleet::start(3, LimitSettings::default()).await;
    let permit = {
        let deadline = Instant::now() + Duration::from_secs(1);
        let limits = fleet.node(0).parts.limits.clone();
        limits
            .connection("db", "m1", "org", deadline)
            .await
            .unwrap()
    };
    fleet.store.set_up(false);
    fleet.kill(1);
    fleet.kill(2);
    let limits = fleet.node(0).parts.limits.clone();
    let cut = Instant::now();
    wait_until("the host is disconnected", || !limits.is_connected()).await;
    println!("refused {:?} after the disconnection", cut.elapsed());
    let deadline = Instant::now() + Duration::from_secs(1);
    assert_eq!(
        limits.admit("org", deadline).await,
        Err(LimitError::Disconnected)
    );
    let refused = limits.connection("db", "m1", "org", deadline).await;
    assert!(matches!(refused, Err(LimitError::Disconnected)));
    permit.revoked().await;
}

/// Checks the baseline in which seats are leases in the store: the fleet stops when the store is
/// down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_leases_stop_the_fleet_in_an_outage() {
    let settings = LimitSettings {
        seats: SeatRule::StoreLease,
        ..LimitSettings::default()
    };
    let fleet = Fleet::start(3, settings).await;
    fleet.set_load(&[20, 20, 20]);
    fleet.used(2.0).await;
    let used = fleet.used(2.0).await;
    fleet.store.set_up(false);
    let stopped = || {
        fleet
            .nodes
            .iter()
            .flatten()
            .all(|n| !n.parts.limits.is_connected())
    };
    wait_until("the leases have ended", stopped).await;
    let outage = fleet.used(2.0).await;
    println!(
        "store leases: {:.1}% of the rate, in an outage {:.1}%",
        used * 100.0,
        outage * 100.0
    );
    assert!(used > 0.9 && outage == 0.0);
}

/// Guards against lending connections that are still open, and against permits that stay on idle
/// hosts when the load moves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_follow_the_load_once_the_pool_has_closed_them() {
    let fleet = Fleet::start(4, LimitSettings::default()).await;
    let limits: Vec<_> = fleet
        .nodes
        .iter()
        .flatten()
        .map(|n| n.parts.limits.clone())
        .collect();
    for host in &limits {
        let mut allowance = host.allowance("db", "m1");
        wait_until("the floor of two connections", || {
            *allowance.borrow_and_update() == 2
        })
        .await;
        assert!(host.report_open("db", "m1", 2));
    }
    let mut waiting = Vec::new();
    for _ in 0..CONNECTIONS {
        let host = limits[0].clone();
        waiting.push(tokio::spawn(async move {
            let deadline = Instant::now() + Duration::from_secs(20);
            host.connection("db", "m1", "org", deadline).await
        }));
    }
    let recalled = |host: usize| *limits[host].allowance("db", "m1").borrow() == 0;
    wait_until("idle hosts are asked to close", || (1..4).all(recalled)).await;
    assert_eq!(
        *limits[0].allowance("db", "m1").borrow(),
        2,
        "nothing was closed yet"
    );
    for host in &limits[1..] {
        assert!(host.report_open("db", "m1", 0));
    }
    let asked = Instant::now();
    wait_until("the busy host may use every connection", || {
        *limits[0].allowance("db", "m1").borrow() == CONNECTIONS
    })
    .await;
    println!(
        "all connections {:?} after the pools closed them",
        asked.elapsed()
    );
    assert!(!limits[1].report_open("db", "m1", 1));
    for task in waiting {
        assert!(task.await.unwrap().is_ok());
    }
}
