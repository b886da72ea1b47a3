//! Wires the parts of the entry daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::HostReport;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::host_status::HostStatus;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::Incarnation;
use thiserror::Error;
use tokio::sync::watch;

use crate::admin::hooks::Hooks;
use crate::admin::hooks::SwitchoverError;
use crate::admin::server::AdminServer;
use crate::admin::start_error::AdminStartError;
use crate::config::announcer::Announcer;
use crate::config::handle::ConfigHandle;
use crate::control::Control;
use crate::databases::directory::Directory;
use crate::front::cancel::Cancels;
use crate::front::context::Context;
use crate::front::listener::Listener;
use crate::front::tls;
use crate::front::tls::TlsError;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::settings::Settings;

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
    Admin(#[from] AdminStartError),
    #[error("cannot send metrics: {0}")]
    Metrics(io::Error),
}

/// A running daemon.
pub struct Daemon {
    admin: AdminServer,
    announcer: Announcer,
    _config: ConfigHandle,
    _control: Control,
    listener: Listener,
    stop: watch::Sender<bool>,
    stop_timeout: Duration,
}

/// Starts the daemon; its sockets are bound when this returns.
pub async fn spawn(settings: Settings) -> Result<Daemon, StartError> {
    let start = Instant::now();
    let incarnation = rand::random();
    let store = StoreClient::open(&settings.store.url)?;
    let control = Control::spawn().map_err(StartError::Control)?;
    let config = control.enter(|| ConfigHandle::spawn(store.clone()));
    let views = config.subscribe();
    let limits = Arc::<Limits>::default();
    let directory = control.enter(|| Directory::spawn(views.clone(), Arc::clone(&limits), start));
    let admin = {
        let (listen, store, views) = (settings.listen.admin, store.clone(), views.clone());
        let hooks = hooks(&settings.host, incarnation, views.clone());
        control
            .run(async move { AdminServer::bind(listen, store, views, hooks) })
            .await?
    };
    let (stop, stopping) = watch::channel(false);
    let stop_timeout = settings.stop_timeout();
    let acceptor = settings.tls.as_ref().map(tls::acceptor).transpose()?;
    let metrics = Metrics::open(settings.metrics.as_ref()).map_err(StartError::Metrics)?;
    let context = Arc::new(Context {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        config: views.clone(),
        limits,
        directory,
        metrics,
        stop: stopping,
        cancels: Cancels::default(),
    });
    let address = settings.listen.sql;
    let listener = Listener::spawn(address, acceptor, context)
        .await
        .map_err(|source| StartError::Bind { address, source })?;
    let status = HostStatus {
        incarnation,
        data_centre: settings.data_centre,
        sql: listener.address(),
        admin: admin.addr(),
        control: settings.listen.control,
    };
    let announcer = control.enter(|| Announcer::spawn(store, views, settings.host, status));
    Ok(Daemon {
        admin,
        announcer,
        _config: config,
        _control: control,
        listener,
        stop,
        stop_timeout,
    })
}

impl Daemon {
    /// Address for callers.
    pub fn sql(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Address of the administration API.
    pub fn admin(&self) -> SocketAddr {
        self.admin.addr()
    }

    /// Stops without interrupting requests; false if transactions were still open at the limit.
    pub async fn stop(self) -> bool {
        self.stop.send_replace(true);
        let complete = self.listener.join(self.stop_timeout).await;
        if let Err(error) = self.announcer.withdraw().await {
            tracing::warn!(event = 209, %error, "host object not withdrawn");
        }
        self.admin.close().await;
        complete
    }
}

fn hooks(host: &str, incarnation: Incarnation, views: watch::Receiver<Arc<ConfigView>>) -> Hooks {
    let host = host.to_owned();
    Hooks {
        status: Arc::new(move || {
            let revision = views.borrow().revision;
            let report = HostReport {
                incarnation,
                revision,
                vouched: true,
                draining: false,
            };
            FleetStatus {
                revision,
                hosts: [(host.clone(), report)].into(),
            }
        }),
        metrics: Arc::new(String::new),
        switchover: Arc::new(|_, _| Box::pin(async { Err(SwitchoverError::TimedOut) })),
    }
}
