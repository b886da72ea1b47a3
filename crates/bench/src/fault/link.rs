//! A running link.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::fault::counts::Counts;
use crate::fault::error::FaultError;
use crate::fault::link_report::LinkReport;
use crate::fault::link_settings::LinkSettings;
use crate::fault::mode::LinkMode;
use crate::fault::protocol::Protocol;
use crate::fault::sources::Sources;
use crate::fault::state::LinkState;
use crate::fault::tcp;
use crate::fault::udp;

/// Handle to a running link. Dropping it ends the link's tasks.
#[derive(Debug)]
pub struct Link {
    name: String,
    protocol: Protocol,
    listen: SocketAddr,
    state: watch::Sender<LinkState>,
    counts: Arc<Counts>,
}

impl Link {
    /// Binds the listen address and starts to forward.
    pub async fn bind(settings: &LinkSettings, sources: Sources) -> Result<Self, FaultError> {
        let (state, watcher) = watch::channel(LinkState {
            mode: LinkMode::Pass,
            delay: Duration::from_micros(settings.delay_us),
            delays: settings
                .delays_us
                .iter()
                .map(|(name, delay)| (name.clone(), Duration::from_micros(*delay)))
                .collect(),
            cut_sources: BTreeSet::new(),
            target: settings.target,
            frozen_below: 0,
            reset_below: 0,
            unknown_below: 0,
        });
        let counts = Arc::new(Counts::default());
        let failed = |source| FaultError::Bind {
            name: settings.name.clone(),
            listen: settings.listen,
            source,
        };
        let listen = match settings.protocol {
            Protocol::Tcp => {
                let socket = TcpListener::bind(settings.listen).await.map_err(failed)?;
                let listen = socket.local_addr().map_err(failed)?;
                tokio::spawn(tcp::serve(socket, watcher, counts.clone(), sources));
                listen
            }
            Protocol::Udp => {
                let socket = UdpSocket::bind(settings.listen).await.map_err(failed)?;
                let listen = socket.local_addr().map_err(failed)?;
                tokio::spawn(udp::serve(socket, watcher, counts.clone(), sources));
                listen
            }
        };
        Ok(Self {
            name: settings.name.clone(),
            protocol: settings.protocol,
            listen,
            state,
            counts,
        })
    }

    /// Address at which the link listens.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Changes the treatment of all open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Changes the delay of bytes that arrive from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Changes the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Cuts the traffic of these processes, and of no others. Only processes for which the link's
    /// settings hold a delay are recognised. A process may have opened connections before it was
    /// made known, so connections of unknown processes are reset.
    pub fn set_cut_sources(&self, sources: BTreeSet<String>) {
        let next = self.counts.accepted.load(Relaxed);
        self.state.send_modify(|state| {
            state.cut_sources = sources;
            state.unknown_below = next;
        });
    }

    /// Silences the connections open now; new ones work.
    pub fn freeze_open(&self) {
        let next = self.counts.accepted.load(Relaxed);
        self.state.send_modify(|state| state.frozen_below = next);
    }

    /// Resets the connections open now.
    pub fn reset(&self) {
        let next = self.counts.accepted.load(Relaxed);
        self.state.send_modify(|state| state.reset_below = next);
    }

    /// State and counters now.
    pub fn report(&self) -> LinkReport {
        let state = self.state.borrow();
        LinkReport {
            name: self.name.clone(),
            protocol: self.protocol,
            listen: self.listen,
            target: state.target,
            mode: state.mode,
            delay_us: u64::try_from(state.delay.as_micros()).unwrap_or(u64::MAX),
            accepted: self.counts.accepted.load(Relaxed),
            open: self.counts.open.load(Relaxed),
            delivered: self.counts.delivered.load(Relaxed),
            discarded: self.counts.discarded.load(Relaxed),
        }
    }
}
