//! Guards against commands that misreport what happened: wrong exit codes, lost fields, or a wait
//! that ends before a change is in force.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;

use futures::FutureExt;
use magnoliahatch_bench::store::fault::Answer;
use magnoliahatch_bench::store::fault::Fault;
use magnoliahatch_bench::store::server::StoreServer;
use magnoliahatch_bench::store::settings::StoreSettings;
use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::HostReport;
use magnoliahatch_client::admin::switchover_done::SwitchoverDone;
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
        config.filled().await;
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
                async { Ok(SwitchoverDone { term: 7, member }) }.boxed()
            }),
        };
        let any = "127.0.0.1:0".parse().unwrap();
        let admin = AdminServer::bind(any, client, config.subscribe(), hooks).unwrap();
        Self {
            store,
            config,
            admin,
            hosts,
        }
    }

    fn host(&self, revision: u64, vouched: bool) {
        let report = HostReport {
            incarnation: 1,
            revision,
            vouched,
            draining: false,
        };
        let mut status = self.hosts.lock().unwrap();
        status.hosts.insert("h7".to_owned(), report);
    }

    /// Runs a command whose arguments contain no spaces.
    async fn run(&self, arguments: &str) -> Output {
        run(&self.admin.addr().to_string(), arguments).await
    }

    async fn json(&self, arguments: &str) -> Value {
        let output = self.run(&format!("{arguments} --output json")).await;
        assert!(output.status.success(), "{arguments}: {output:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    async fn code(&self, arguments: &str) -> Option<i32> {
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

/// An address on which nothing listens.
async fn closed_port() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn installation_is_set_up_changed_and_withdrawn() {
    let fleet = Fleet::start().await;
    fleet.json("secret create").await;
    fleet.json(DATABASE).await;
    fleet.json(CONTRACT).await;
    fleet
        .json("route create rides --database hire --access open --organisation northwind")
        .await;
    let key = fleet.json("key create northwind").await;
    fleet.json("contract change northwind --rate 60").await;
    let shown = fleet.json("contract show northwind").await;
    let terms = json!({"rate": 60.0, "burst": 20.0, "max_age_ms": 100, "weight": 1,
        "idle_in_transaction_ms": 10_000});
    assert_eq!(
        shown[0]["value"],
        json!({"terms": terms, "keys": [key["id"]]})
    );
    fleet.json("route change rides --access key").await;
    let shown = fleet.json("route show rides").await;
    assert_eq!(
        shown[0]["value"],
        json!({"database": "hire", "access": "key"})
    );
    fleet.json("database change hire --slots 3").await;
    let shown = fleet.json("database show").await;
    assert_eq!(shown[0]["value"]["slots"], 3);
    assert_eq!(shown[0]["value"]["members"][2]["data_centre"], "kafanchan");
    fleet.json("data-centre out zaria").await;
    assert_eq!(fleet.code("endpoint out h3").await, Some(5));
    assert_eq!(fleet.json("data-centre show").await[0]["value"], "out");
    fleet.json("data-centre in zaria").await;
    fleet.json("endpoint out h3").await;
    let done = fleet.json("switchover hire --member h2").await;
    assert_eq!(done, json!({"term": 7, "member": "h2"}));
    let id = key["id"].as_str().unwrap();
    fleet.json(&format!("key withdraw northwind {id}")).await;
    assert_eq!(fleet.json("key show northwind").await, json!([]));
    fleet.json("route withdraw rides").await;
    fleet.json("contract withdraw northwind").await;
    let last = fleet.json("database withdraw hire").await;
    assert_eq!(fleet.json("contract show").await, json!([]));
    let mut views = fleet.config.subscribe();
    let last = last["version"].as_u64().unwrap();
    views.wait_for(|view| view.revision >= last).await.unwrap();
    assert!(fleet.config.view().databases.is_empty());
}

#[tokio::test]
async fn table_has_a_header_and_one_line_for_each_object() {
    let fleet = Fleet::start().await;
    fleet.json(CONTRACT).await;
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
async fn exit_codes_tell_failures_apart() {
    let fleet = Fleet::start().await;
    fleet.json(CONTRACT).await;
    fleet.json("contract change northwind --rate 60").await;
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
    fleet.store.set_fault(Fault::Down {
        answer: Answer::Refuse,
    });
    assert_eq!(
        fleet.code("contract change northwind --rate 1").await,
        Some(4)
    );
    assert_eq!(fleet.code("contract show northwind").await, Some(0));
    let closed = closed_port().await.to_string();
    assert_eq!(run(&closed, "status").await.status.code(), Some(1));
    assert_eq!(run("", "status").await.status.code(), Some(2));
    let second = format!("{closed},{}", fleet.admin.addr());
    assert_eq!(run(&second, "status").await.status.code(), Some(0));
}

#[tokio::test]
async fn wait_ends_when_the_change_is_in_force_on_every_host_that_takes_work() {
    let fleet = Fleet::start().await;
    fleet.host(0, true);
    let early = fleet
        .run(&format!("{CONTRACT} --wait --wait-limit 0"))
        .await;
    assert_eq!(early.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&early.stderr).contains("h7"));
    let change = "contract change northwind --rate 60 --wait";
    // A host that nobody vouches for refuses work, so it is not waited for.
    fleet.host(0, false);
    assert_eq!(fleet.code(change).await, Some(0));
    fleet.host(0, true);
    let catch_up = async {
        let mut views = fleet.config.subscribe();
        views.wait_for(|view| view.revision == 3).await.unwrap();
        fleet.host(3, true);
    };
    let (code, ()) = tokio::join!(fleet.code(change), catch_up);
    assert_eq!(code, Some(0));
    let status = fleet.json("status").await;
    assert_eq!(status["hosts"]["h7"]["revision"], 3);
}

#[tokio::test]
async fn settings_name_the_daemons_and_are_checked() {
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
