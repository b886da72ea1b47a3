//! Guards against a configuration that reverts, stops following the store or is unavailable during
//! an outage.

mod store_support;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use magnoliahatch_bench::store::fault::OutageAnswer;
use magnoliahatch_bench::store::fault::StoreFault;
use magnoliahatch_client::objects::host_record::HostRecord;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_daemon::config::announcer::Announcer;
use magnoliahatch_daemon::config::handle::ConfigHandle;
use serde_json::json;
use store_support::TIMEOUT;
use store_support::contract;
use store_support::put;
use store_support::store;
use store_support::store_at;
use store_support::wait_until;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

const DOWN: StoreFault = StoreFault::Down {
    answer: OutageAnswer::Refuse,
};
const SILENT: StoreFault = StoreFault::Down {
    answer: OutageAnswer::Silent,
};

fn rate(config: &ConfigHandle, organisation: &str) -> Option<f64> {
    let view = config.view();
    view.contracts.get(organisation).map(|found| found.rate)
}

#[tokio::test]
async fn change_is_in_force_on_nine_hosts() {
    let (_server, store) = store();
    let hosts: Vec<_> = (0..9).map(|_| ConfigHandle::spawn(store.clone())).collect();
    for host in &hosts {
        host.wait_loaded().await;
    }
    let start = Instant::now();
    let version = put(&store, kind::CONTRACT, "a", 0, contract(5.0))
        .await
        .version;
    for host in &hosts {
        let mut views = host.subscribe();
        let seen = views.wait_for(|view| view.revision >= version);
        let seen = tokio::time::timeout(TIMEOUT, seen).await.unwrap().unwrap();
        assert_eq!(seen.contracts["a"].rate, 5.0);
    }
    println!("in force on 9 hosts after {:?}", start.elapsed());
    store.delete(kind::CONTRACT, "a", version).await.unwrap();
    wait_until("deletion is in force", || {
        hosts.iter().all(|host| rate(host, "a").is_none())
    })
    .await;
}

#[tokio::test]
async fn outage_keeps_the_view_and_ends_with_the_newest_changes() {
    for fault in [DOWN, SILENT, StoreFault::Slow { delay_ms: 60_000 }] {
        let (server, store) = store();
        put(&store, kind::CONTRACT, "a", 0, contract(1.0)).await;
        let config = ConfigHandle::spawn(store.clone());
        config.wait_loaded().await;
        let before = config.freshness().borrow().reached;
        server.set_fault(fault);
        // A second watch after the fault shows that the first one failed and was retried.
        let watches = server.counts().watches;
        wait_until("retries", || server.counts().watches >= watches + 2).await;
        assert_eq!(rate(&config, "a"), Some(1.0));
        server.set_fault(StoreFault::None);
        put(&store, kind::CONTRACT, "a", 1, contract(2.0)).await;
        wait_until("newest change", || rate(&config, "a") == Some(2.0)).await;
        let after = config.freshness().borrow().reached;
        assert!(before.is_some() && after > before);
    }
}

#[tokio::test]
async fn host_started_in_an_outage_is_filled_by_a_peer() {
    let (server, store) = store();
    put(&store, kind::CONTRACT, "a", 0, contract(1.0)).await;
    let peer = ConfigHandle::spawn(store.clone());
    peer.wait_loaded().await;
    server.set_fault(DOWN);
    let started = ConfigHandle::spawn(store.clone());
    assert!(started.patch(0).is_none());
    let patch = peer.patch(started.view().revision).unwrap();
    assert!(!started.merge(&patch).gap);
    assert_eq!(rate(&started, "a"), Some(1.0));
    let stamp = *started.freshness().borrow();
    assert_eq!((stamp.reached, stamp.current), (None, None));
    let at = Instant::now();
    started.confirm(patch.revision + 1, at);
    assert_eq!(started.freshness().borrow().current, None);
    started.confirm(patch.revision, at);
    assert_eq!(started.freshness().borrow().current, Some(at));
    server.set_fault(StoreFault::None);
    put(&store, kind::CONTRACT, "a", 1, contract(2.0)).await;
    wait_until("change after the outage", || {
        rate(&started, "a") == Some(2.0)
    })
    .await;
    // A duplicate of the older patch must not revert the view.
    started.merge(&patch);
    assert_eq!(rate(&started, "a"), Some(2.0));
}

#[tokio::test]
async fn store_that_lost_changes_does_not_revert_the_view() {
    let (server, store) = store();
    put(&store, kind::CONTRACT, "a", 0, contract(1.0)).await;
    put(&store, kind::CONTRACT, "a", 1, contract(2.0)).await;
    let config = ConfigHandle::spawn(store.clone());
    config.wait_loaded().await;
    let addr = server.addr();
    server.close().await;
    let (server, store) = store_at(addr);
    put(&store, kind::CONTRACT, "a", 0, contract(1.0)).await;
    wait_until("two watches of the emptied store", || {
        server.counts().watches >= 2
    })
    .await;
    assert_eq!((rate(&config, "a"), config.view().revision), (Some(2.0), 2));
}

#[tokio::test]
async fn dropped_handle_ends_the_watch() {
    let (server, store) = store();
    let config = ConfigHandle::spawn(store.clone());
    wait_until("a watch", || server.counts().watches > 0).await;
    let mut views = config.subscribe();
    drop(config);
    // The channel closes when the task has released the shared state.
    while views.changed().await.is_ok() {}
}

/// Forwards connections. After a signal, those that are open forward nothing more in either
/// direction.
async fn proxy(target: SocketAddr) -> (SocketAddr, watch::Sender<u32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (silence, silenced) = watch::channel(0);
    tokio::spawn(async move {
        while let Ok((mut client, _)) = listener.accept().await {
            let mut silenced = silenced.clone();
            silenced.mark_unchanged();
            tokio::spawn(async move {
                let mut server = TcpStream::connect(target).await.unwrap();
                tokio::select! {
                    _ = copy_bidirectional(&mut client, &mut server) => {}
                    _ = silenced.changed() => std::future::pending().await,
                }
            });
        }
    });
    (addr, silence)
}

#[tokio::test]
async fn change_is_in_force_within_7_s_although_open_connections_go_silent() {
    let (server, store) = store();
    let (addr, silence) = proxy(server.addr()).await;
    let client = StoreClient::open(&format!("http://{addr}")).unwrap();
    let config = ConfigHandle::spawn(client.clone());
    config.wait_loaded().await;
    wait_until("a watch", || server.counts().watches > 0).await;
    // Concurrent calls leave more connections in the client's pool.
    join_all((0..4).map(|_| client.list(kind::CONTRACT))).await;
    silence.send(1).unwrap();
    let start = Instant::now();
    put(&store, kind::CONTRACT, "a", 0, contract(5.0)).await;
    wait_until("change in force", || rate(&config, "a") == Some(5.0)).await;
    println!("in force after {:?}", start.elapsed());
    assert!(start.elapsed() < Duration::from_secs(7));
}

fn status(incarnation: u64) -> HostRecord {
    let value = json!({"incarnation": incarnation, "data_centre": "zaria",
        "sql": "127.0.0.1:1", "admin": "127.0.0.1:2", "control": "127.0.0.1:3"});
    serde_json::from_value(value).unwrap()
}

async fn announce(store: &StoreClient, config: &ConfigHandle, incarnation: u64) -> Announcer {
    let host = "h1".to_owned();
    Announcer::spawn(store.clone(), config.subscribe(), host, status(incarnation))
}

async fn written(announcer: &Announcer, after: u64) -> u64 {
    let mut written = announcer.written();
    let version = written.wait_for(|version| version.is_some_and(|version| version > after));
    let version = tokio::time::timeout(TIMEOUT, version).await.unwrap();
    version.unwrap().unwrap()
}

#[tokio::test]
async fn host_object_survives_lost_answers_deletion_and_an_older_run() {
    let (server, store) = store();
    let old = serde_json::to_value(status(1)).unwrap();
    put(&store, kind::HOST, "h1", 0, old).await;
    let config = ConfigHandle::spawn(store.clone());
    config.wait_loaded().await;
    server.set_fault(StoreFault::LostAnswer);
    let announcer = announce(&store, &config, 2).await;
    let version = written(&announcer, 0).await;
    assert_eq!(version, 2, "the lost answer was not recognised");
    server.set_fault(StoreFault::None);
    wait_until("view shows the host", || {
        config.view().hosts["h1"].incarnation == 2
    })
    .await;
    store.delete(kind::HOST, "h1", version).await.unwrap();
    let version = written(&announcer, version).await;
    assert_eq!(store.get(kind::HOST, "h1").await.unwrap().version, version);
    announcer.withdraw().await.unwrap();
    assert!(store.get(kind::HOST, "h1").await.is_err());
}

#[tokio::test]
async fn replaced_host_object_is_left_to_its_new_owner() {
    let (_server, store) = store();
    let config = ConfigHandle::spawn(store.clone());
    let first = announce(&store, &config, 1).await;
    written(&first, 0).await;
    let second = announce(&store, &config, 2).await;
    let version = written(&second, 0).await;
    // The first task ends when it sees the object of the second.
    let mut ended = first.written();
    while ended.changed().await.is_ok() {}
    first.withdraw().await.unwrap();
    assert_eq!(store.get(kind::HOST, "h1").await.unwrap().version, version);
}
