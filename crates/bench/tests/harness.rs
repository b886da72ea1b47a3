//! Guards against a harness that leaves processes behind or signals the wrong ones.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_bench::fault::api::LinkChange;
use magnoliahatch_bench::fault::client::FaultClient;
use magnoliahatch_bench::fault::link_settings::LinkSettings;
use magnoliahatch_bench::fault::mode::LinkMode;
use magnoliahatch_bench::fault::protocol::Protocol;
use magnoliahatch_bench::harness::binaries;
use magnoliahatch_bench::harness::error::HarnessError;
use magnoliahatch_bench::harness::objects;
use magnoliahatch_bench::harness::process::Process;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::placement::Placement;
use magnoliahatch_client::store::StoreClient;
use serde_json::json;
use tempfile::TempDir;

/// Upper limit of each wait on a condition.
const LIMIT: Duration = Duration::from_secs(10);

async fn start_store(folder: &TempDir) -> Process {
    let binary = binaries::find("standin-store").unwrap();
    let settings = json!({"listen": "127.0.0.1:0"});
    Process::spawn("store", &binary, &settings, folder.path())
        .await
        .unwrap()
}

fn state_of(id: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit(") ").next()?.chars().next()
}

#[tokio::test]
async fn kill_pause_resume_and_stop_reach_the_process() {
    let folder = TempDir::new().unwrap();
    let mut store = start_store(&folder).await;
    store.pause().unwrap();
    while state_of(store.id()) != Some('T') {
        tokio::task::yield_now().await;
    }
    store.resume().unwrap();
    let client = StoreClient::open(&format!("http://{}", store.listen("store").unwrap())).unwrap();
    objects::put(&client, kind::PLACEMENT, "host/a", &Placement::Out)
        .await
        .unwrap();
    let second = objects::put(&client, kind::PLACEMENT, "host/a", &Placement::In)
        .await
        .unwrap();
    assert_eq!(client.get(kind::PLACEMENT, "host/a").await.unwrap(), second);
    assert!(store.stop(LIMIT).await.unwrap().success());
    assert!(matches!(store.kill(), Err(HarnessError::NotRunning { .. })));
}

#[tokio::test]
async fn drop_kills_a_suspended_process() {
    let folder = TempDir::new().unwrap();
    let mut store = start_store(&folder).await;
    let id = store.id();
    store.pause().unwrap();
    drop(store);
    assert_eq!(state_of(id), None);
}

#[tokio::test]
async fn a_process_that_refuses_its_settings_is_reported_with_its_log() {
    let folder = TempDir::new().unwrap();
    let binary = binaries::find("fault-proxy").unwrap();
    let error = Process::spawn("proxy", &binary, &json!({"admn": 1}), folder.path())
        .await
        .unwrap_err();
    assert!(error.to_string().contains("field `admn`"), "{error}");
}

#[tokio::test]
async fn fault_proxy_process_names_its_links_and_obeys_its_api() {
    let folder = TempDir::new().unwrap();
    let binary = binaries::find("fault-proxy").unwrap();
    let settings = json!({"admin": "127.0.0.1:0", "links": [{"name": "store", "delay_us": 100}]});
    let proxy = Process::spawn("proxy", &binary, &settings, folder.path())
        .await
        .unwrap();
    let store = start_store(&folder).await;
    let faults = FaultClient::open(proxy.listen("admin").unwrap()).unwrap();
    let change = LinkChange {
        target: store.listen("store").ok(),
        ..LinkChange::default()
    };
    faults.change("store", &change).await.unwrap();
    let url = format!("http://{}", proxy.listen("store").unwrap());
    let client = StoreClient::open(&url).unwrap();
    client.list(kind::ROUTE).await.unwrap();

    let cut = LinkChange {
        mode: Some(LinkMode::Cut),
        ..LinkChange::default()
    };
    faults.change("store", &cut).await.unwrap();
    assert!(client.list(kind::ROUTE).await.is_err());
    assert_eq!(faults.list().await.unwrap()[0].mode, LinkMode::Cut);

    let second = LinkSettings {
        name: "mesh".to_owned(),
        protocol: Protocol::Udp,
        listen: "127.0.0.1:0".parse().unwrap(),
        target: None,
        delay_us: 0,
        delays_us: BTreeMap::new(),
    };
    assert_ne!(faults.add(&second).await.unwrap().listen.port(), 0);
    assert!(faults.add(&second).await.is_err());
}
