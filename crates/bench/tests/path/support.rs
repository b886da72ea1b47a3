//! Starts a store, three members and a daemon, and connects callers.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use magnoliahatch_bench::member::server;
use magnoliahatch_bench::member::server::Member;
use magnoliahatch_bench::member::settings::MemberSettings;
use magnoliahatch_bench::store::server::StoreServer;
use magnoliahatch_bench::store::settings::StoreSettings;
use magnoliahatch_client::change_id;
use magnoliahatch_client::keys;
use magnoliahatch_client::keys::CreatedKey;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_client::ready::Ready;
use magnoliahatch_client::settings;
use magnoliahatch_client::store::StoreClient;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;
use tokio_postgres::Client;
use tokio_postgres::Config;
use tokio_postgres::Error;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Fails a test that waits for something that does not happen.
const LIMIT: Duration = Duration::from_secs(15);

/// A running `magnoliahatchd`, ended with the test.
pub(crate) struct Daemon {
    child: Child,
    pub(crate) sql: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    pub(crate) fn start(dir: &Path, store: &str, more: &Value) -> Self {
        let mut settings = json!({
            "host": "h1", "region": "north", "data_centre": "dc1",
            "listen": {"sql": "127.0.0.1:0", "admin": "127.0.0.1:0", "control": "127.0.0.1:0"},
            "store": {"url": store}, "log": {"filter": "error"},
        });
        for (name, value) in more.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let path = dir.join("daemon.json");
        std::fs::write(&path, settings.to_string()).expect("writes settings");
        let mut child = Command::new(binary("magnoliahatchd"))
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("starts; build the workspace's binaries first");
        let mut line = String::new();
        let out = child.stdout.take().expect("piped");
        BufReader::new(out).read_line(&mut line).expect("reads");
        let ready: Ready = serde_json::from_str(&line).expect("ready line");
        let sql = ready.listen["sql"];
        Self { child, sql }
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .arg(pid)
                .status()
                .expect("runs")
                .success()
        );
    }

    /// Exit code, once the process ended.
    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let mut code = None;
        eventually("the daemon ends", async || {
            code = self.child.try_wait().expect("waits");
            code.is_some()
        })
        .await;
        code.and_then(|status| status.code())
    }
}

/// A binary beside the test's own executable.
pub(crate) fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("has a path");
    own.ancestors().nth(2).expect("is in deps").join(name)
}

/// Store, members m1 (primary), m2 and m3, and a daemon with organisations `ash` and `oak`.
pub(crate) struct World {
    pub(crate) daemon: Daemon,
    pub(crate) members: Vec<Member>,
    pub(crate) store: StoreServer,
    pub(crate) ash: CreatedKey,
    pub(crate) oak: CreatedKey,
    dir: tempfile::TempDir,
}

impl World {
    pub(crate) async fn start() -> Self {
        Self::with("", &json!({})).await
    }

    /// `member` is JSON added to the members' settings, `daemon` to the daemon's.
    pub(crate) async fn with(member: &str, daemon: &Value) -> Self {
        let m1 = start_member("m1", "\"primary\"", member).await;
        let follow = format!("{{\"follow\": \"{}\"}}", m1.sql);
        let m2 = start_member("m2", &follow, member).await;
        let m3 = start_member("m3", &follow, member).await;
        let members = vec![m1, m2, m3];
        let (ash, oak) = (keys::create(), keys::create());
        let list: Vec<_> = members
            .iter()
            .enumerate()
            .map(|(at, m)| json!({"name": format!("m{}", at + 1), "address": m.sql, "data_centre": "dc1"}))
            .collect();
        let seeds = json!([
            {"kind": "contract", "name": "ash", "value": contract(&ash, 1000)},
            {"kind": "contract", "name": "oak", "value": contract(&oak, 0)},
            {"kind": "database", "name": "hire",
             "value": {"members": list, "connections": 16, "slots": 2}},
            {"kind": "route", "name": "hire", "value": {"database": "hire", "access": "key"}},
            {"kind": "route", "name": "open",
             "value": {"database": "hire", "access": "open", "organisation": "ash"}},
            {"kind": "secret", "name": "token",
             "value": {"key": "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="}},
        ]);
        let text = json!({"listen": "127.0.0.1:0", "objects": seeds}).to_string();
        let parsed: StoreSettings = settings::parse(Path::new("store.json"), &text).expect("valid");
        let store = StoreServer::bind(&parsed).expect("binds");
        let dir = tempfile::tempdir().expect("creates");
        let daemon = Daemon::start(dir.path(), &store.url(), daemon);
        let world = Self {
            daemon,
            members,
            store,
            ash,
            oak,
            dir,
        };
        let client = world.connect_when_ready().await;
        let table = "CREATE TABLE t (id INT PRIMARY KEY, note TEXT)";
        client
            .batch_execute(table)
            .await
            .expect("creates the table");
        world
    }

    pub(crate) fn config(&self, organisation: &str) -> Config {
        let key = if organisation == "oak" {
            &self.oak
        } else {
            &self.ash
        };
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.daemon.sql.port())
            .user(organisation)
            .password(&key.key)
            .dbname("hire");
        config
    }

    pub(crate) async fn connect(&self, organisation: &str) -> Client {
        open(&self.config(organisation)).await.expect("connects")
    }

    /// Directory for settings files.
    pub(crate) fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Replaces an object of the store.
    pub(crate) async fn put(&self, kind: &str, name: &str, value: Value) {
        let client = StoreClient::open(&self.store.url()).expect("opens");
        let version = client
            .get(kind, name)
            .await
            .map_or(0, |found| found.version);
        let change_id = change_id::generate();
        let write_request = WriteRequest { change_id, value };
        client
            .put(kind, name, version, &write_request)
            .await
            .expect("stored");
    }

    /// Calls a control function of a member's stand-in.
    pub(crate) async fn control(&self, member: usize, call: &str) -> String {
        control(self.members[member].control.expect("has one"), call).await
    }

    async fn connect_when_ready(&self) -> Client {
        let mut client = None;
        eventually("the daemon has its configuration", async || {
            client = open(&self.config("ash")).await.ok();
            client.is_some()
        })
        .await;
        client.expect("connected")
    }
}

pub(crate) fn contract(key: &CreatedKey, max_age_ms: u64) -> Value {
    json!({"rate": 100_000.0, "burst": 100_000.0, "max_age_ms": max_age_ms,
           "idle_in_transaction_ms": 1500, "keys": [key.hash]})
}

pub(crate) async fn start_member(name: &str, start: &str, more: &str) -> Member {
    let text = format!(
        "{{\"member\": \"{name}\", \"start\": {start}, \"connect_ms\": 0, \"record\": true, {more}
          \"listen\": {{\"sql\": \"127.0.0.1:0\", \"control\": \"127.0.0.1:0\"}}}}"
    );
    let parsed: MemberSettings = settings::parse(Path::new("m.json"), &text).expect("valid");
    server::spawn(parsed).await.expect("member starts")
}

pub(crate) async fn open(config: &Config) -> Result<Client, Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Calls a function of a member directly; the first column of its answer.
pub(crate) async fn control(address: SocketAddr, call: &str) -> String {
    row(address, call).await.remove(0)
}

/// Calls a function of a member directly; its answer.
pub(crate) async fn row(address: SocketAddr, call: &str) -> Vec<String> {
    let mut config = Config::new();
    config
        .host("127.0.0.1")
        .port(address.port())
        .user("platform");
    let client = open(&config).await.expect("connects");
    first_row(&client, &format!("SELECT * FROM {call}")).await
}

/// First column of the first row, as text.
pub(crate) async fn value(client: &Client, sql: &str) -> String {
    first_row(client, sql).await.remove(0)
}

async fn first_row(client: &Client, sql: &str) -> Vec<String> {
    let messages = client.simple_query(sql).await;
    let messages = messages.unwrap_or_else(|error| panic!("{sql}: {error:?}"));
    let first = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = first.unwrap_or_else(|| panic!("{sql} returned no row"));
    let text = |at| row.get(at).unwrap_or("NULL").to_owned();
    (0..row.len()).map(text).collect()
}

/// SQLSTATE and outcome of a failure.
pub(crate) fn refusal<T>(result: Result<T, Error>) -> (String, String) {
    let error = result.err().expect("an error");
    let found = error.as_db_error();
    let found = found.unwrap_or_else(|| panic!("not a server error: {error:?}"));
    let detail = found.detail().unwrap_or_default().to_owned();
    (found.code().code().to_owned(), detail)
}

pub(crate) fn not_run(code: &str) -> (String, String) {
    (code.to_owned(), "outcome=not_run".to_owned())
}

pub(crate) fn unknown() -> (String, String) {
    ("08007".to_owned(), "outcome=unknown".to_owned())
}

/// Repeats a check until it holds.
pub(crate) async fn eventually(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let repeat = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(LIMIT, repeat).await.is_ok(), "not in time: {what}");
}
