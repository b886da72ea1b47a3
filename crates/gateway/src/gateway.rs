//! Starts and stops the tasks of one host.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dropshot::HttpServer;
use rand::seq::SliceRandom;
use tokio::net::TcpListener;

use crate::clock;
use crate::duty::watch_primary;
use crate::front::listener;
use crate::log_limit;
use crate::mesh::frame::Call;
use crate::mesh::frame::Return;
use crate::mesh::server;
use crate::metrics::Registry;
use crate::metrics_server;
use crate::model::kind::Kind;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::restart;
use crate::settings::Settings;
use crate::stage::Stage;
use crate::start_error::StartError;
use crate::view::follower;
use crate::view::registry;

/// Interval at which the readiness flag is renewed.
const READY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which limits of connections are renewed. Until then a new home may find a member's
/// connections held by the former one.
const LIMITS_INTERVAL: Duration = Duration::from_millis(500);
/// Part of the grace in which clients are still served; after it no operation begins here.
const SERVE_PART: f64 = 0.4;
/// Part of the grace that open transactions have after a stop signal.
const SESSION_PART: f64 = 0.5;
/// Part of the grace after which the process ends in any case; until then it waits for statements
/// that are running.
const STOP_PART: f64 = 0.8;
/// Hosts that a new process asks how long they run. A fleet of which half was started again is
/// taken for a whole one in 1 of 256 cases, which costs no more than a second restart.
const AGES_ASKED: usize = 8;
/// Limit of this question; processes that start answer within some hundred ms.
const AGE_LIMIT: Duration = Duration::from_millis(500);
/// Interval at which a stop looks for remaining sessions.
const STOP_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the balancer needs to notice that this host is not ready.
const NOTICE_TIME: Duration = Duration::from_millis(2200);

/// A running gateway.
pub struct Gateway<P: Platform> {
    node: Rc<Node<P>>,
    ready: Arc<AtomicBool>,
    _metrics: HttpServer<Arc<Registry>>,
}

impl<P: Platform> Gateway<P> {
    /// Binds the sockets and starts all tasks on the current `LocalSet`.
    pub async fn bind(mut settings: Settings, store: P::Store) -> Result<Self, StartError> {
        let clients = listen(settings.listen).await?;
        let hosts = listen(settings.mesh).await?;
        // The registration names the bound port, also if the settings leave it open.
        settings.mesh = address(&hosts, settings.mesh)?;
        settings.listen = address(&clients, settings.listen)?;
        let node = Node::<P>::new(settings, store);
        let ready = Arc::new(AtomicBool::new(false));
        let metrics = metrics_server::bind(node.settings.metrics, node.metrics.registry())?;
        for kind in Kind::ALL {
            tokio::task::spawn_local(follower::follow(node.clone(), kind));
        }
        tokio::task::spawn_local(follower::stamp(node.clone()));
        tokio::task::spawn_local(follower::register(node.clone()));
        tokio::task::spawn_local(follower::ask_readers(node.clone()));
        tokio::task::spawn_local(follower::ask_peers(node.clone()));
        tokio::task::spawn_local(registry::run(node.clone()));
        tokio::task::spawn_local(server::serve(node.clone(), hosts));
        tokio::task::spawn_local(listener::serve(node.clone(), clients));
        tokio::task::spawn_local(watch_primary::run(node.clone()));
        tokio::task::spawn_local(renew_ready(node.clone(), ready.clone()));
        tokio::task::spawn_local(renew_limits(node.clone()));
        Ok(Self {
            node,
            ready,
            _metrics: metrics,
        })
    }

    /// Whether the host takes new client connections; renewed while the gateway runs.
    pub fn ready(&self) -> Arc<AtomicBool> {
        self.ready.clone()
    }

    /// Where clients connect.
    pub fn addr(&self) -> SocketAddr {
        self.node.settings.listen
    }

    /// Applies changed settings, as far as they hold without a new start.
    pub fn reload(&self, changed: &Settings) {
        let applied = self.node.settings.reloaded(changed);
        self.node.bounds.set(applied.bounds);
        let revocation = applied.bounds.revocation.as_millis() as u64;
        let grace = applied.bounds.grace.as_millis() as u64;
        // `first_start` differs as soon as the whole system has started once.
        let restart = Settings {
            first_start: applied.first_start,
            ..changed.clone()
        } != applied;
        tracing::info!(event = 683, revocation, grace, restart, "settings reloaded");
    }

    /// Takes no new clients, lets transactions end, and gives the registration back.
    pub async fn stop(self) {
        let started = clock::now();
        let grace = self.node.bounds.get().grace;
        self.node.stage.send_replace(Stage::Leaving);
        self.ready.store(false, Ordering::Relaxed);
        self.node.on_view_changed();
        let node = &self.node;
        let noticed = || clock::now().saturating_sub(started) >= NOTICE_TIME;
        wait_until(started + grace.mul_f64(SERVE_PART), || {
            noticed() && node.sessions.get() == 0
        })
        .await;
        node.stage.send_replace(Stage::Closing);
        wait_until(started + grace.mul_f64(SESSION_PART), || {
            node.sessions.get() == 0
        })
        .await;
        node.stage.send_replace(Stage::Ending);
        wait_until(started + grace.mul_f64(STOP_PART), || {
            node.sessions.get() == 0 && node.running.get() == 0 && node.channels.get() == 0
        })
        .await;
        self.unregister().await;
        let left = (self.node.sessions.get(), self.node.channels.get());
        let lines = log_limit::dropped();
        tracing::info!(
            event = 609,
            sessions = left.0,
            channels = left.1,
            lines,
            "stopped"
        );
    }

    async fn unregister(&self) {
        let host = &self.node.settings.host;
        let revision = {
            let view = self.node.view.borrow();
            let hosts = view.kind(Kind::Hosts);
            hosts.and_then(|k| k.objects.get(host)).map(|o| o.revision)
        };
        let Some(revision) = revision else { return };
        let limit = Duration::from_millis(300);
        let removal = self.node.store.remove(Kind::Hosts, host, revision);
        match tokio::time::timeout(limit, removal).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::warn!(event = 608, %error, "host not unregistered"),
            Err(_) => tracing::warn!(event = 608, "host not unregistered in time"),
        }
    }
}

fn address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|source| StartError::Listen { address, source })
}

async fn wait_until(end: Duration, done: impl Fn() -> bool) {
    while clock::now() < end && !done() {
        tokio::time::sleep(STOP_INTERVAL).await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

/// Renews the limits of connections until the process ends.
async fn renew_limits<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::time::sleep(LIMITS_INTERVAL).await;
        node.renew_limits();
    }
}

/// Gives the organisations their first tokens.
async fn fill<P: Platform>(node: Rc<Node<P>>) {
    if node.settings.first_start {
        node.quota.fill(&node);
        return;
    }
    let mut others = node.registered_hosts();
    others.retain(|h| *h != node.settings.host);
    others.shuffle(&mut rand::rng());
    let asked = others.iter().take(AGES_ASKED);
    let answers = asked.map(|host| node.mesh.call(host, Call::Ping, AGE_LIMIT));
    let answers = futures::future::join_all(answers).await;
    let ages: Vec<Duration> = answers
        .into_iter()
        .filter_map(|answer| match answer {
            Ok(Return::Alive { age }) => Some(age),
            // A host that has not started yet does not share out rates either.
            _ => None,
        })
        .collect();
    // Without an answer this process may be cut off from a system that goes on.
    let alone = others.is_empty();
    let whole = (alone || !ages.is_empty()) && restart::is_whole(node.age(), &ages);
    tracing::info!(
        event = 685,
        whole,
        answered = ages.len(),
        "hosts asked how long they run"
    );
    if whole {
        node.quota.fill_again(&node);
    }
}

async fn renew_ready<P: Platform>(node: Rc<Node<P>>, ready: Arc<AtomicBool>) {
    let mut filled = false;
    loop {
        if !filled && node.view.borrow().complete(clock::now()) {
            tokio::task::spawn_local(fill(node.clone()));
            filled = true;
        }
        let value = node.is_ready();
        if ready.swap(value, Ordering::Relaxed) != value {
            tracing::info!(event = 600, ready = value, "readiness changed");
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
}
