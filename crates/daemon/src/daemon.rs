//! Wires the parts of the entry daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use thiserror::Error;
use tokio::sync::watch;

use crate::config::follow;
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
    #[error("cannot send metrics: {0}")]
    Metrics(io::Error),
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    listener: Listener,
    stop: watch::Sender<bool>,
    stop_timeout: Duration,
}

/// Starts the daemon; its sockets are bound when this returns.
pub async fn spawn(settings: Settings) -> Result<Daemon, StartError> {
    let start = Instant::now();
    let store = StoreClient::open(&settings.store.url)?;
    let config = follow::spawn(store);
    let limits = Arc::<Limits>::default();
    let directory = Directory::spawn(config.clone(), Arc::clone(&limits), start);
    let (stop, stopping) = watch::channel(false);
    let stop_timeout = settings.stop_timeout();
    let acceptor = settings.tls.as_ref().map(tls::acceptor).transpose()?;
    let metrics = Metrics::open(settings.metrics.as_ref()).map_err(StartError::Metrics)?;
    let context = Arc::new(Context {
        host: settings.host,
        data_centre: settings.data_centre,
        config,
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
    Ok(Daemon {
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

    /// Stops without interrupting requests; false if transactions were still open at the limit.
    pub async fn stop(self) -> bool {
        self.stop.send_replace(true);
        self.listener.join(self.stop_timeout).await
    }
}
