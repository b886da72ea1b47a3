//! Starts, connects and stops the components of the entry daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::host_record::HostRecord;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::admin::server::AdminServer;
use crate::admin::start_error::AdminStartError;
use crate::config::announcer::Announcer;
use crate::config::handle::ConfigHandle;
use crate::control_runtime::ControlRuntime;
use crate::databases::registry::DatabaseRegistry;
use crate::drains;
use crate::drains::DrainTracker;
use crate::front::cancel::CancelRegistry;
use crate::front::context::SessionContext;
use crate::front::listener::Listener;
use crate::front::retry_budgets::RetryBudgets;
use crate::front::tls;
use crate::front::tls::TlsError;
use crate::limits::Limits;
use crate::limits::channel::MeshChannel;
use crate::limits::channel::channel_pair;
use crate::mesh::Mesh;
use crate::mesh::Reports;
use crate::mesh::announcement::Announcement;
use crate::mesh::event::MeshEvent;
use crate::mesh::mesh_error::MeshError;
use crate::mesh::settings::MeshSettings;
use crate::metrics::Metrics;
use crate::peers::announce;
use crate::peers::exchange;
use crate::peers::fleet::Fleet;
use crate::reporter::Reporter;
use crate::settings::Settings;
use crate::switchover::gate_updates;
use crate::switchover::maintenance;
use crate::switchover::orders::SwitchoverOrders;

/// Why the daemon cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    #[error("cannot bind {address}: {source}")]
    Bind {
        address: SocketAddr,
        source: io::Error,
    },
    #[error("store.url is not valid: {0}")]
    Store(#[from] StoreError),
    #[error(transparent)]
    Tls(#[from] TlsError),
    #[error("cannot start the control thread: {0}")]
    Control(io::Error),
    #[error(transparent)]
    Mesh(#[from] MeshError),
    #[error(transparent)]
    Admin(#[from] AdminStartError),
    #[error("cannot send metrics: {0}")]
    Metrics(io::Error),
}

/// A running daemon.
pub struct Daemon {
    admin: AdminServer,
    announcer: Announcer,
    context: Arc<SessionContext>,
    listener: Listener,
    mesh: Option<Mesh>,
    stop: watch::Sender<bool>,
    stop_timeout: Duration,
    _config: Arc<ConfigHandle>,
    /// Declared last so that it is dropped last: tasks of the other components run on it.
    _control: ControlRuntime,
}

/// Starts the daemon. All sockets are bound when this returns.
pub async fn spawn(settings: Settings) -> Result<Daemon, StartError> {
    let start = Instant::now();
    let incarnation = rand::random();
    let host = settings.host.clone();
    let store = StoreClient::open(&settings.store.url)?;
    let control = ControlRuntime::spawn().map_err(StartError::Control)?;
    let config = Arc::new(control.enter(|| ConfigHandle::spawn(store.clone())));
    let views = config.subscribe();
    let (limits_end, mesh_end) = channel_pair();
    let limits = control.enter(|| {
        let (host, store, views) = (host.clone(), store.clone(), views.clone());
        Limits::spawn(host, incarnation, settings.limits, limits_end, store, views)
    });
    let announcement = watch::Sender::new(Announcement::default());
    let mesh = control.enter(|| {
        bind_mesh(
            &settings,
            incarnation,
            mesh_end,
            views.clone(),
            &announcement,
        )
    })?;
    let drains = DrainTracker::new(start);
    let fleet = Fleet {
        host: host.clone(),
        incarnation,
        start,
        limits: limits.clone(),
        reports: match &mesh {
            Some((mesh, _)) => mesh.reports(),
            None => watch::channel(Reports::new()).1,
        },
        config: views.clone(),
        region: settings.region.clone(),
        orders: SwitchoverOrders::default(),
        drains: drains.clone(),
    };
    let registry = control.enter(|| DatabaseRegistry::spawn(views.clone(), fleet.clone()));
    let (stop, stopping) = watch::channel(false);
    let acceptor = settings.tls.as_ref().map(tls::acceptor).transpose()?;
    let metrics = Metrics::open(settings.metrics.as_ref()).map_err(StartError::Metrics)?;
    let context = Arc::new(SessionContext {
        host: host.clone(),
        data_centre: settings.data_centre.clone(),
        config: views.clone(),
        limits,
        registry: Arc::clone(&registry),
        metrics,
        drains: drains.clone(),
        stop: stopping,
        cancel_registry: CancelRegistry::default(),
        retry_budgets: RetryBudgets::new(),
    });
    let reporter = Reporter::new(
        fleet.clone(),
        Arc::clone(&context),
        Arc::clone(&config),
        mesh.as_ref().map(|(mesh, _)| mesh.clone()),
        store.clone(),
    );
    let admin = {
        let (listen, store, views) = (settings.listen.admin, store.clone(), views.clone());
        let bind = async move { AdminServer::bind(listen, store, views, reporter.hooks()) };
        control.run(bind).await?
    };
    let listener = bind_sql(settings.listen.sql, acceptor, &context).await?;
    let mesh = control.enter(|| {
        drains::spawn(drains, views.clone());
        gate_updates::spawn(fleet.clone(), Arc::clone(&registry));
        maintenance::spawn(fleet.clone(), Arc::clone(&registry));
        announce::spawn(
            announcement,
            Arc::clone(&config),
            registry,
            Arc::clone(&context),
            fleet,
        );
        mesh.map(|(mesh, events)| {
            exchange::spawn(Arc::clone(&config), mesh.clone(), events);
            mesh
        })
    });
    let advertised = settings.advertise.and_then(|advertise| advertise.control);
    let bound = mesh.as_ref().map(Mesh::address);
    let record = HostRecord {
        incarnation,
        data_centre: settings.data_centre,
        sql: listener.address(),
        admin: admin.addr(),
        control: advertised.or(bound).unwrap_or(settings.listen.control),
    };
    let announcer = control.enter(|| Announcer::spawn(store, views, host, record));
    Ok(Daemon {
        admin,
        announcer,
        context,
        listener,
        mesh,
        stop,
        stop_timeout: Duration::from_millis(settings.stop_timeout_ms),
        _config: config,
        _control: control,
    })
}

impl Daemon {
    /// Bound address for SQL clients.
    pub fn sql(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Bound address of the administration API.
    pub fn admin(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Bound address for messages from peers; `None` without control certificates.
    pub fn control(&self) -> Option<SocketAddr> {
        self.mesh.as_ref().map(Mesh::address)
    }

    /// Shuts down without interrupting requests. Returns false if transactions were still open at
    /// the stop timeout.
    pub async fn stop(self) -> bool {
        self.stop.send_replace(true);
        let complete = self.listener.join(self.stop_timeout).await;
        self.context.limits.stop();
        if let Err(error) = self.announcer.withdraw().await {
            tracing::warn!(event = 209, %error, "host object not deleted");
        }
        self.admin.close().await;
        complete
    }
}

async fn bind_sql(
    address: SocketAddr,
    acceptor: Option<tokio_rustls::TlsAcceptor>,
    context: &Arc<SessionContext>,
) -> Result<Listener, StartError> {
    Listener::spawn(address, acceptor, Arc::clone(context))
        .await
        .map_err(|source| StartError::Bind { address, source })
}

type BoundMesh = (Mesh, mpsc::Receiver<MeshEvent>);

fn bind_mesh(
    settings: &Settings,
    incarnation: u64,
    channel: MeshChannel,
    views: watch::Receiver<Arc<ConfigView>>,
    announcement: &watch::Sender<Announcement>,
) -> Result<Option<BoundMesh>, MeshError> {
    let Some(tls) = &settings.control_tls else {
        tokio::spawn(discard_outgoing(channel));
        return Ok(None);
    };
    let mesh = MeshSettings {
        listen: settings.listen.control,
        certificate: tls.cert.clone(),
        key: tls.key.clone(),
        authority: tls.ca.clone(),
    };
    let host = settings.host.clone();
    Mesh::bind(
        &mesh,
        host,
        incarnation,
        channel,
        views,
        announcement.subscribe(),
    )
    .map(Some)
}

/// Discards outgoing messages of the limits module on a host without peers.
async fn discard_outgoing(mut channel: MeshChannel) {
    while channel.input.recv().await.is_some() {}
}
