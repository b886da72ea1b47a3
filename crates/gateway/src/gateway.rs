//! Starts and stops the tasks of a host.

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
use crate::failover::primary_monitor;
use crate::front::listener;
use crate::log_limit;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::mesh::server;
use crate::metrics::Registry;
use crate::metrics_server;
use crate::model::kind::ObjectKind;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::Store;
use crate::policy::restart;
use crate::policy::restart::ProcessState;
use crate::policy::shutdown_schedule::ShutdownSchedule;
use crate::rate_handover;
use crate::settings::Settings;
use crate::shutdown_stage::ShutdownStage;
use crate::start_error::StartError;
use crate::usage::holder;
use crate::usage::reference_clocks;
use crate::usage::sender;
use crate::view::follower;
use crate::view::host_cleanup;
use crate::view::registration;
use crate::view::startup;

/// Interval at which the readiness flag is updated.
const READY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which connection limits are updated. After a member's home moves to this host, the
/// former home may hold the member's connections for up to this long.
const LIMITS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts that a new process asks for their uptime. If only half of the fleet restarted,
/// this is taken for a restart of the whole fleet in 1 of 256 cases, which costs no more than a
/// second restart of the fleet.
const AGE_SAMPLE: usize = 8;
/// Age at which a process fills the buckets that it has come to own since the first start of the whole
/// system. All hosts are registered by then.
const SETTLE_AGE: Duration = Duration::from_secs(2);
/// Time limit of these calls. Processes that are starting answer within some hundred ms.
const AGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a stopping host checks for remaining sessions.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for sending the last counts of operations. With `UNREGISTER_LIMIT` it fits into a twelfth of
/// a grace period of 6 s, which is left after the last statements.
const LAST_COUNTS_LIMIT: Duration = Duration::from_millis(200);
/// Time limit for removing the registration.
const UNREGISTER_LIMIT: Duration = Duration::from_millis(300);
/// Time that the load balancer needs to notice that this host is not ready.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2200);

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
        // The registration must name the bound port, also if the settings leave the choice of port
        // open.
        settings.mesh = local_address(&hosts, settings.mesh)?;
        settings.listen = local_address(&clients, settings.listen)?;
        let node = Node::<P>::new(settings, store);
        let ready = Arc::new(AtomicBool::new(false));
        let metrics = metrics_server::bind(node.settings.metrics, node.metrics.registry())?;
        for kind in ObjectKind::ALL {
            tokio::task::spawn_local(follower::follow(node.clone(), kind));
        }
        tokio::task::spawn_local(follower::poll_revision(node.clone()));
        tokio::task::spawn_local(registration::run(node.clone()));
        tokio::task::spawn_local(follower::follow_host(node.clone()));
        tokio::task::spawn_local(follower::poll_peers(node.clone()));
        tokio::task::spawn_local(startup::run(node.clone()));
        tokio::task::spawn_local(host_cleanup::run(node.clone()));
        tokio::task::spawn_local(server::serve(node.clone(), hosts));
        tokio::task::spawn_local(listener::serve(node.clone(), clients));
        tokio::task::spawn_local(primary_monitor::run(node.clone()));
        tokio::task::spawn_local(update_readiness(node.clone(), ready.clone()));
        tokio::task::spawn_local(update_connection_limits(node.clone()));
        tokio::task::spawn_local(rate_handover::run(node.clone()));
        if node.usage.is_some() {
            tokio::task::spawn_local(sender::run(node.clone()));
            tokio::task::spawn_local(reference_clocks::run(node.clone()));
            tokio::task::spawn_local(holder::run(node.clone()));
        }
        Ok(Self {
            node,
            ready,
            _metrics: metrics,
        })
    }

    /// Whether the host takes new client connections. Updated while the gateway runs.
    pub fn ready(&self) -> Arc<AtomicBool> {
        self.ready.clone()
    }

    /// The address to which clients connect.
    pub fn addr(&self) -> SocketAddr {
        self.node.settings.listen
    }

    /// Number of open sessions of clients.
    pub fn sessions(&self) -> u32 {
        self.node.sessions.get()
    }

    /// Applies those changed settings that take effect without a restart.
    pub fn reload(&self, changed: &Settings) {
        let applied = self.node.settings.reloaded(changed);
        self.node.bounds.set(applied.bounds);
        let revocation = applied.bounds.revocation.as_millis() as u64;
        let grace = applied.bounds.grace.as_millis() as u64;
        // `first_start` is ignored: it differs as soon as the whole system has started once.
        let restart = Settings {
            first_start: applied.first_start,
            ..changed.clone()
        } != applied;
        tracing::info!(event = 683, revocation, grace, restart, "settings reloaded");
    }

    /// Shuts the host down: refuses new clients, lets transactions end, and removes the
    /// registration.
    pub async fn stop(self) {
        let started = clock::now();
        let schedule = ShutdownSchedule::new(started, self.node.bounds.get().grace);
        self.node.stage.send_replace(ShutdownStage::Leaving);
        self.ready.store(false, Ordering::Relaxed);
        self.node.on_view_changed();
        let node = &self.node;
        let readiness_noticed = || clock::now().saturating_sub(started) >= READINESS_NOTICE_TIME;
        wait_until(|| {
            clock::now() >= schedule.serve || (readiness_noticed() && node.sessions.get() == 0)
        })
        .await;
        node.stage.send_replace(ShutdownStage::Closing);
        wait_until(|| clock::now() >= schedule.transactions || node.sessions.get() == 0).await;
        node.stage.send_replace(ShutdownStage::RollingBack);
        wait_until(|| schedule.may_end(clock::now(), node.open_work())).await;
        // The counts go first, since a host without a registration may not be heard.
        if tokio::time::timeout(LAST_COUNTS_LIMIT, sender::send_pending(node))
            .await
            .is_err()
        {
            tracing::warn!(
                event = 734,
                "the last counts of operations were not taken in time"
            );
        }
        self.unregister().await;
        let left = (self.node.sessions.get(), self.node.channels.get());
        let lines = log_limit::dropped_lines();
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
            let hosts = view.kind(ObjectKind::Hosts);
            hosts.and_then(|k| k.objects.get(host)).map(|o| o.revision)
        };
        let Some(revision) = revision else { return };
        let removal = self.node.store.remove(ObjectKind::Hosts, host, revision);
        match tokio::time::timeout(UNREGISTER_LIMIT, removal).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                tracing::warn!(event = 608, %error, "failed to remove the host's registration")
            }
            Err(_) => tracing::warn!(event = 608, "removing the host's registration timed out"),
        }
    }
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|source| StartError::Listen { address, source })
}

async fn wait_until(done: impl Fn() -> bool) {
    while !done() {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen { address, source })
}

/// Updates the connection limits until the process ends.
async fn update_connection_limits<P: Platform>(node: Rc<Node<P>>) {
    loop {
        tokio::time::sleep(LIMITS_INTERVAL).await;
        node.update_connection_limits();
    }
}

/// Gives the organisations their first tokens after a start or restart of the whole system.
async fn fill_quotas<P: Platform>(node: Rc<Node<P>>) {
    if node.settings.first_start {
        rate_handover::update_owners(&node);
        node.quota.fill(&node, |rate| rate.burst);
        tokio::time::sleep(SETTLE_AGE.saturating_sub(node.age())).await;
        rate_handover::update_owners(&node);
        node.quota.fill(&node, |rate| rate.burst);
        return;
    }
    let mut others = node.view.borrow().host_ids();
    others.retain(|h| *h != node.settings.host);
    others.shuffle(&mut rand::rng());
    let asked = others.iter().take(AGE_SAMPLE);
    let answers = asked.map(|host| node.mesh.call(host, Call::Ping, AGE_TIMEOUT));
    let answers = futures::future::join_all(answers).await;
    let states: Vec<ProcessState> = answers
        .into_iter()
        .map(|answer| match answer {
            Ok(Response::Alive { age }) => ProcessState::Running(age),
            // Another process answered, or none: it is starting and has granted nothing yet.
            Err(CallError::Ended) => ProcessState::Ended,
            _ => ProcessState::Silent,
        })
        .collect();
    let whole = restart::started_together(node.age(), &states);
    tracing::info!(
        event = 685,
        whole,
        asked = states.len(),
        "asked other hosts for their uptime"
    );
    if whole {
        let bounds = node.settings.bounds.rate;
        rate_handover::update_owners(&node);
        node.quota
            .fill(&node, |rate| restart::initial_tokens(rate, &bounds));
    }
}

async fn update_readiness<P: Platform>(node: Rc<Node<P>>, ready: Arc<AtomicBool>) {
    let mut filled = false;
    loop {
        if !filled && node.view.borrow().is_complete(clock::now()) {
            tokio::task::spawn_local(fill_quotas(node.clone()));
            filled = true;
        }
        let value = node.is_ready();
        if ready.swap(value, Ordering::Relaxed) != value {
            tracing::info!(event = 600, ready = value, "readiness changed");
        }
        tokio::time::sleep(READY_INTERVAL).await;
    }
}
