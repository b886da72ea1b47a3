//! A database group of three stand-in members, and election tasks with simple monitors.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use magnoliahatch_bench::member::server;
use magnoliahatch_bench::member::server::Member;
use magnoliahatch_client::settings;
use magnoliahatch_core::failure_detector::DetectionTimeouts;
use magnoliahatch_core::failure_detector::PeerObservation;
use magnoliahatch_core::failure_detector::PeerReports;
use magnoliahatch_core::failure_detector::PrimaryObservation;
use magnoliahatch_core::group_view::GroupView;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::role::Role;
use magnoliahatch_daemon::election;
use magnoliahatch_daemon::election::CallError;
use magnoliahatch_daemon::election::Command;
use magnoliahatch_daemon::election::CommandCaller;
use magnoliahatch_daemon::election::Elected;
use magnoliahatch_daemon::election::Handle;
use magnoliahatch_daemon::election::Inputs;
use tempfile::TempDir;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Time limit of every wait in the tests.
const LIMIT: Duration = Duration::from_secs(15);
/// Interval of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

pub(crate) async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let repeat = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(timeout(LIMIT, repeat).await.is_ok(), "not in time: {what}");
}

async fn connect(address: SocketAddr, user: &str) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host("127.0.0.1").port(address.port()).user(user);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn row(address: SocketAddr, sql: String) -> Result<Vec<String>, CallError> {
    let client = connect(address, "platform").await?;
    for message in client.simple_query(&sql).await? {
        if let SimpleQueryMessage::Row(row) = message {
            let text = |at| row.get(at).unwrap_or_default().to_owned();
            return Ok((0..row.len()).map(text).collect());
        }
    }
    Err("no row".into())
}

/// Three stand-in members; `m1` is the first primary.
pub(crate) struct Group {
    dir: TempDir,
    members: BTreeMap<MemberId, Member>,
    pub(crate) addresses: BTreeMap<MemberId, SocketAddr>,
}

impl Group {
    pub(crate) async fn start() -> Self {
        let mut group = Self {
            dir: tempfile::tempdir().expect("a directory"),
            members: BTreeMap::new(),
            addresses: BTreeMap::new(),
        };
        group.spawn("m1", "\"primary\"", "127.0.0.1:0").await;
        let follow = format!("{{\"follow\": \"{}\"}}", group.addresses["m1"]);
        group.spawn("m2", &follow, "127.0.0.1:0").await;
        group.spawn("m3", &follow, "127.0.0.1:0").await;
        let client = connect(group.addresses["m1"], "proxy")
            .await
            .expect("connects");
        client
            .batch_execute("CREATE TABLE t (a INT)")
            .await
            .expect("created");
        group
    }

    async fn spawn(&mut self, name: &str, start: &str, listen: &str) {
        let data = self.dir.path().join(name);
        let text = format!(
            "{{\"member\": \"{name}\", \"start\": {start}, \"data_dir\": {data:?},
              \"listen\": {{\"sql\": \"{listen}\"}}}}"
        );
        let settings = settings::parse(Path::new("member.json"), &text).expect("valid settings");
        let member = server::spawn(settings).await.expect("member starts");
        self.addresses.insert(name.to_owned(), member.sql);
        self.members.insert(name.to_owned(), member);
    }

    pub(crate) fn stop(&mut self, name: &str) {
        self.members.remove(name);
    }

    /// Restarts a stopped member with its old log and address.
    pub(crate) async fn restart(&mut self, name: &str) {
        let address = self.addresses[name].to_string();
        self.spawn(name, "\"fenced\"", &address).await;
    }

    pub(crate) fn member(&self, name: &str) -> &Member {
        &self.members[name]
    }

    pub(crate) async fn command(&self, name: &str, call: &str) -> Result<Vec<String>, CallError> {
        row(
            self.addresses[name],
            format!("SELECT * FROM platform_{call}"),
        )
        .await
    }

    pub(crate) async fn status(&self, name: &str) -> Result<Vec<String>, CallError> {
        timeout(Duration::from_secs(1), self.command(name, "status()")).await?
    }

    /// Waits for a member to become the primary of `term` or later and returns its name.
    pub(crate) async fn new_primary(&self, term: u64) -> MemberId {
        let search = async {
            loop {
                for name in self.addresses.keys() {
                    // A short timeout, so that a frozen member does not delay the search.
                    let status = timeout(Duration::from_millis(50), self.command(name, "status()"));
                    if let Ok(Ok(row)) = status.await
                        && row[1] == "primary"
                        && row[2].parse().is_ok_and(|found: u64| found >= term)
                    {
                        return name.clone();
                    }
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(LIMIT, search).await.expect("a new primary in time")
    }

    pub(crate) async fn insert(&self, name: &str, value: i32) -> Result<(), CallError> {
        let client = connect(self.addresses[name], "proxy").await?;
        client
            .execute("INSERT INTO t VALUES ($1)", &[&value])
            .await?;
        Ok(())
    }

    /// Inserts a row and waits until a second member has received it.
    pub(crate) async fn confirmed_insert(&self, name: &str, value: i32) {
        self.insert(name, value).await.expect("inserted");
        let last = self.status(name).await.expect("status");
        let call = format!("wait({}, {}, 10000)", last[2], last[4]);
        let answer = self.command(name, &call).await.expect("waited");
        assert_eq!(answer[0], last[2]);
        let reached: u64 = answer[1].parse().expect("a position");
        let wanted: u64 = last[4].parse().expect("a position");
        assert!(reached >= wanted, "confirmed {reached} of {wanted}");
    }

    /// Values in the table; none if the member does not answer.
    pub(crate) async fn values(&self, name: &str) -> Option<Vec<i32>> {
        let client = connect(self.addresses[name], "proxy").await.ok()?;
        let rows = client.query("SELECT a FROM t ORDER BY a", &[]).await.ok()?;
        Some(rows.iter().map(|row| row.get(0)).collect())
    }
}

/// An election task with a monitor that stands in for the daemon's.
pub(crate) struct Daemon {
    host: String,
    handle: Handle,
    peers: Arc<watch::Sender<PeerReports>>,
    /// Member that this daemon cannot reach.
    blocked: Arc<Mutex<Option<MemberId>>>,
}

impl Daemon {
    /// Starts an election task without peers.
    pub(crate) fn start(group: &Group, host: &str, incarnation: u64) -> Self {
        let start = Instant::now();
        let blocked = Arc::new(Mutex::new(None));
        let (view, seen) = watch::channel(GroupView::default());
        for (name, address) in &group.addresses {
            let probe = probe(
                name.clone(),
                *address,
                start,
                view.clone(),
                Arc::clone(&blocked),
            );
            tokio::spawn(probe);
        }
        let no_peers = PeerReports {
            has_lease: true,
            ..PeerReports::default()
        };
        let (peers, heard) = watch::channel(no_peers);
        let addresses = group.addresses.clone();
        let unreachable = Arc::clone(&blocked);
        let call: CommandCaller = Arc::new(move |member, sql| {
            if is_blocked(&unreachable, &member) {
                return std::future::pending().boxed();
            }
            row(addresses[&member], sql).boxed()
        });
        let handle = election::spawn(Inputs {
            database: "hire-ledger".to_owned(),
            host: host.to_owned(),
            incarnation,
            members: group.addresses.clone(),
            start,
            view: seen,
            peers: heard,
            call,
            out_of_service: Arc::new(BTreeSet::new),
            patience: DetectionTimeouts::default(),
            timing: Default::default(),
        });
        Self {
            host: host.to_owned(),
            handle,
            peers: Arc::new(peers),
            blocked,
        }
    }

    /// Makes the daemons exchange their opinions.
    pub(crate) fn connect_all(daemons: &[Self]) {
        for from in daemons {
            for to in daemons.iter().filter(|to| to.host != from.host) {
                let (host, peers) = (from.host.clone(), Arc::clone(&to.peers));
                let mut observation = from.handle.observation.clone();
                let live = daemons.len() - 1;
                tokio::spawn(async move {
                    loop {
                        let own = *observation.borrow_and_update();
                        peers.send_modify(|peers| {
                            peers.live = live;
                            if let Some(own) = own {
                                peers.observations.insert(host.clone(), never_expiring(own));
                            }
                        });
                        if observation.changed().await.is_err() {
                            return;
                        }
                    }
                });
            }
        }
    }

    pub(crate) fn set_peers(&self, observations: &[(&str, PrimaryObservation)]) {
        let observations = observations.iter();
        self.set_raw_peers(PeerReports {
            has_lease: true,
            live: observations.len(),
            observations: observations
                .map(|(host, observation)| ((*host).to_owned(), never_expiring(*observation)))
                .collect(),
        });
    }

    pub(crate) fn set_raw_peers(&self, peers: PeerReports) {
        self.peers.send_replace(peers);
    }

    /// Makes a member unreachable for this daemon.
    pub(crate) fn block(&self, member: &str) {
        *self.blocked.lock().expect("not poisoned") = Some(member.to_owned());
    }

    /// Makes all members reachable again.
    pub(crate) fn unblock(&self) {
        *self.blocked.lock().expect("not poisoned") = None;
    }

    pub(crate) fn observation(&self) -> Option<PrimaryObservation> {
        *self.handle.observation.borrow()
    }

    pub(crate) async fn command(&self, command: Command) {
        self.handle
            .commands
            .send(command)
            .await
            .expect("the task runs");
    }

    pub(crate) async fn elected(&self) -> Elected {
        let mut elected = self.handle.elected.clone();
        let found = timeout(LIMIT, elected.wait_for(Option::is_some)).await;
        let found = found.expect("in time").expect("the task runs");
        found.clone().expect("a primary")
    }
}

fn never_expiring(observation: PrimaryObservation) -> PeerObservation {
    PeerObservation {
        observation,
        expires: Duration::from_secs(3600),
    }
}

fn is_blocked(blocked: &Mutex<Option<MemberId>>, member: &MemberId) -> bool {
    blocked.lock().expect("not poisoned").as_ref() == Some(member)
}

/// Probes one member periodically and updates it in the view.
async fn probe(
    name: MemberId,
    address: SocketAddr,
    start: Instant,
    view: watch::Sender<GroupView>,
    blocked: Arc<Mutex<Option<MemberId>>>,
) {
    while !view.is_closed() {
        let row = timeout(PROBE_TIMEOUT, row(address, election::status_sql())).await;
        let row = row.ok().and_then(Result::ok);
        let row = row.filter(|_| !is_blocked(&blocked, &name));
        let status = row.and_then(|row| election::status(&row).ok());
        view.send_modify(|view| {
            let member = view.members.entry(name.clone()).or_default();
            member.reachable = status.is_some();
            let Some(status) = status else {
                return;
            };
            member.term = status.term;
            member.observed_at = start.elapsed();
            if status.term > view.term {
                view.term = status.term;
                view.primary = None;
            }
            if status.term == view.term && status.role == Role::Primary {
                view.primary = Some(name.clone());
            }
        });
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
