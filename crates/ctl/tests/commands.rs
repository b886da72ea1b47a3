//! Guards against commands that report a wrong result: a wrong exit code, missing fields, or a
//! `--wait` that returns before the change has taken effect.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;

use futures::FutureExt;
use magnoliahatch_bench::store::fault::OutageAnswer;
use magnoliahatch_bench::store::fault::StoreFault;
use magnoliahatch_bench::store::server::StoreServer;
use magnoliahatch_bench::store::settings::StoreSettings;
use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::HostReport;
use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_daemon::admin::hooks::Hooks;
use magnoliahatch_daemon::admin::server::AdminServer;
use magnoliahatch_daemon::config::handle::ConfigHandle;
use serde_json::Value;
use serde_json::json;
use tokio::process::Command;

const DATABASE: &str = "database create hire --connections 16 --slots 2 --member \
    h1,127.0.0.1:1,zaria --member h2,127.0.0.1:2,zaria --member h3,127.0.0.1:3,kafanchan";
const CONTRACT: &str = "contract create northwind --rate 50 --burst 20 --max-age-ms 100";

struct Fleet {
    store: StoreServer,
    config: ConfigHandle,
    admin: AdminServer,
    hosts: Arc<Mutex<FleetStatus>>,
}

impl Fleet {
    async fn start() -> Self {
        let settings: StoreSettings =
            serde_json::from_value(json!({"listen": "127.0.0.1:0"})).unwrap();
        let store = StoreServer::bind(&settings).unwrap();
        let client = StoreClient::open(&store.url()).unwrap();
        let config = ConfigHandle::spawn(client.clone());
        config.wait_loaded().await;
        let hosts = Arc::new(Mutex::new(FleetStatus {
            revision: u64::MAX,
            hosts: Default::default(),
            leaving: Default::default(),
        }));
        let status = Arc::clone(&hosts);
        let hooks = Hooks {
            status: Arc::new(move || {
                let status = status.lock().unwrap();
                FleetStatus {
                    revision: status.revision,
                    hosts: status.hosts.clone(),
                    leaving: status.leaving.clone(),
                }
            }),
            metrics: Arc::new(String::new),
            switchover: Arc::new(|_, order| {
                let member = order.member.unwrap_or_default();
                async { Ok(SwitchoverResult { term: 7, member }) }.boxed()
            }),
        };
        let any_port = "127.0.0.1:0".parse().unwrap();
        let admin = AdminServer::bind(any_port, client, config.subscribe(), hooks).unwrap();
        Self {
            store,
            config,
            admin,
            hosts,
        }
    }

    fn set_host(&self, revision: u64, has_lease: bool) {
        let report = HostReport {
            incarnation: 1,
            revision,
            has_lease,
            draining: false,
        };
        let mut status = self.hosts.lock().unwrap();
        status.hosts.insert("h7".to_owned(), report);
    }

    /// Runs a command whose arguments contain no spaces.
    async fn run(&self, arguments: &str) -> Output {
        run(&self.admin.addr().to_string(), arguments).await
    }

    /// Runs a command that must succeed and returns its JSON output.
    async fn run_json(&self, arguments: &str) -> Value {
        let output = self.run(&format!("{arguments} --output json")).await;
        assert!(output.status.success(), "{arguments}: {output:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    async fn exit_code(&self, arguments: &str) -> Option<i32> {
        self.run(arguments).await.status.code()
    }
}

async fn run(admin: &str, arguments: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_magnoliahatch"))
        .args(arguments.split_whitespace())
        .env("MAGNOLIAHATCH_ADMIN", admin)
        .output()
        .await
        .unwrap()
}

/// Returns an address on which nothing listens.
async fn unused_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn objects_are_created_changed_and_withdrawn() {
    let fleet = Fleet::start().await;
    fleet.run_json("secret create").await;
    fleet.run_json(DATABASE).await;
    fleet.run_json(CONTRACT).await;
    fleet
        .run_json("route create rides --database hire --access open --organisation northwind")
        .await;
    let key = fleet.run_json("key create northwind").await;
    fleet.run_json("contract change northwind --rate 60").await;
    let shown = fleet.run_json("contract show northwind").await;
    let terms = json!({"rate": 60.0, "burst": 20.0, "max_age_ms": 100, "weight": 1,
        "idle_in_transaction_ms": 10_000});
    assert_eq!(
        shown[0]["value"],
        json!({"terms": terms, "keys": [key["id"]]})
    );
    fleet.run_json("route change rides --access key").await;
    let shown = fleet.run_json("route show rides").await;
    assert_eq!(
        shown[0]["value"],
        json!({"database": "hire", "access": "key"})
    );
    fleet.run_json("database change hire --slots 3").await;
    let shown = fleet.run_json("database show").await;
    assert_eq!(shown[0]["value"]["slots"], 3);
    assert_eq!(shown[0]["value"]["members"][2]["data_centre"], "kafanchan");
    fleet.run_json("data-centre out zaria").await;
    assert_eq!(fleet.exit_code("endpoint out h3").await, Some(5));
    assert_eq!(fleet.run_json("data-centre show").await[0]["value"], "out");
    fleet.run_json("data-centre in zaria").await;
    fleet.run_json("endpoint out h3").await;
    let done = fleet.run_json("switchover hire --member h2").await;
    assert_eq!(done, json!({"term": 7, "member": "h2"}));
    let id = key["id"].as_str().unwrap();
    fleet
        .run_json(&format!("key withdraw northwind {id}"))
        .await;
    assert_eq!(fleet.run_json("key show northwind").await, json!([]));
    fleet.run_json("route withdraw rides").await;
    fleet.run_json("contract withdraw northwind").await;
    let last = fleet.run_json("database withdraw hire").await;
    assert_eq!(fleet.run_json("contract show").await, json!([]));
    let mut views = fleet.config.subscribe();
    let last = last["version"].as_u64().unwrap();
    views.wait_for(|view| view.revision >= last).await.unwrap();
    assert!(fleet.config.view().databases.is_empty());
}

#[tokio::test]
async fn table_has_a_header_and_one_line_for_each_object() {
    let fleet = Fleet::start().await;
    fleet.run_json(CONTRACT).await;
    let output = fleet.run("contract show").await;
    let text = String::from_utf8(output.stdout).unwrap();
    let lines: Vec<Vec<&str>> = text
        .lines()
        .map(|l| l.split_whitespace().collect())
        .collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert_eq!(lines[0][..3], ["ORGANISATION", "VERSION", "RATE"]);
    assert_eq!(lines[1][..3], ["northwind", "1", "50"]);
}

#[tokio::test]
async fn exit_codes_distinguish_failures() {
    let fleet = Fleet::start().await;
    fleet.run_json(CONTRACT).await;
    fleet.run_json("contract change northwind --rate 60").await;
    for (arguments, code) in [
        ("contract create", 2),
        (
            "contract create northwind --rate fast --burst 1 --max-age-ms 0",
            2,
        ),
        ("--check", 2),
        ("", 2),
        (CONTRACT, 3),
        ("contract change northwind --rate 1 --if-version 1", 3),
        ("contract withdraw northwind --if-version 1", 3),
        ("contract change northwind --rate 0", 5),
        ("contract show none", 5),
        ("route create r --database none --access key", 5),
        ("host out h9", 5),
        ("key create none", 5),
    ] {
        let output = fleet.run(arguments).await;
        assert_eq!(output.status.code(), Some(code), "{arguments}: {output:?}");
        assert!(!output.stderr.is_empty());
    }
    fleet.store.set_fault(StoreFault::Down {
        answer: OutageAnswer::Refuse,
    });
    assert_eq!(
        fleet.exit_code("contract change northwind --rate 1").await,
        Some(4)
    );
    assert_eq!(fleet.exit_code("contract show northwind").await, Some(0));
    let unused = unused_address().await.to_string();
    assert_eq!(run(&unused, "status").await.status.code(), Some(1));
    assert_eq!(run("", "status").await.status.code(), Some(2));
    let with_fallback = format!("{unused},{}", fleet.admin.addr());
    assert_eq!(run(&with_fallback, "status").await.status.code(), Some(0));
}

#[tokio::test]
async fn wait_ends_when_the_change_has_taken_effect_on_every_host_that_accepts_work() {
    let fleet = Fleet::start().await;
    fleet.set_host(0, true);
    let timed_out = fleet
        .run(&format!("{CONTRACT} --wait --wait-limit 0"))
        .await;
    assert_eq!(timed_out.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&timed_out.stderr).contains("h7"));
    let change = "contract change northwind --rate 60 --wait";
    // A host without the vouches of a majority refuses work, so `--wait` ignores it.
    fleet.set_host(0, false);
    assert_eq!(fleet.exit_code(change).await, Some(0));
    fleet.set_host(0, true);
    let apply_change = async {
        let mut views = fleet.config.subscribe();
        views.wait_for(|view| view.revision == 3).await.unwrap();
        fleet.set_host(3, true);
    };
    let (code, ()) = tokio::join!(fleet.exit_code(change), apply_change);
    assert_eq!(code, Some(0));
    let status = fleet.run_json("status").await;
    assert_eq!(status["hosts"]["h7"]["revision"], 3);
}

#[tokio::test]
async fn settings_provide_the_addresses_and_are_validated() {
    let fleet = Fleet::start().await;
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("ctl.json");
    let text = format!(
        "{{ // entry daemons\n \"admin\": [\"{}\"] }}",
        fleet.admin.addr()
    );
    std::fs::write(&file, text).unwrap();
    let status = format!("status --settings {}", file.display());
    assert_eq!(run("", &status).await.status.code(), Some(0));
    let check = format!("--check --settings {}", file.display());
    assert_eq!(run("", &check).await.status.code(), Some(0));
    std::fs::write(&file, "{\n \"admn\": [] }").unwrap();
    let output = run("", &check).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("ctl.json:2: field `admn`"));
}
