//! A running link of the fault proxy.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::fault::error::FaultError;
use crate::fault::link_counters::LinkCounters;
use crate::fault::link_report::LinkReport;
use crate::fault::link_settings::LinkSettings;
use crate::fault::mode::LinkMode;
use crate::fault::protocol::Protocol;
use crate::fault::sources::Sources;
use crate::fault::state::LinkState;
use crate::fault::tcp;
use crate::fault::udp;

/// Handle to a running link. The link's tasks end when it is dropped.
#[derive(Debug)]
pub struct Link {
    name: String,
    protocol: Protocol,
    listen: SocketAddr,
    state: watch::Sender<LinkState>,
    counters: Arc<LinkCounters>,
}

impl Link {
    /// Binds the listen address and starts forwarding.
    pub async fn bind(settings: &LinkSettings, sources: Sources) -> Result<Self, FaultError> {
        let (state, state_receiver) = watch::channel(LinkState {
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
            reset_unidentified_below: 0,
        });
        let counters = Arc::new(LinkCounters::default());
        let bind_error = |source| FaultError::Bind {
            name: settings.name.clone(),
            listen: settings.listen,
            source,
        };
        let listen = match settings.protocol {
            Protocol::Tcp => {
                let socket = TcpListener::bind(settings.listen)
                    .await
                    .map_err(bind_error)?;
                let listen = socket.local_addr().map_err(bind_error)?;
                tokio::spawn(tcp::serve(
                    socket,
                    state_receiver,
                    counters.clone(),
                    sources,
                ));
                listen
            }
            Protocol::Udp => {
                let socket = UdpSocket::bind(settings.listen).await.map_err(bind_error)?;
                let listen = socket.local_addr().map_err(bind_error)?;
                tokio::spawn(udp::serve(
                    socket,
                    state_receiver,
                    counters.clone(),
                    sources,
                ));
                listen
            }
        };
        Ok(Self {
            name: settings.name.clone(),
            protocol: settings.protocol,
            listen,
            state,
            counters,
        })
    }

    /// Address on which the link listens.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Sets the mode for all open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Sets the delay of data that arrives from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Sets the target of new connections and of datagrams not yet delivered.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Cuts the traffic of the named processes and ends the cut of all others. On TCP links, only
    /// processes that have an entry in the link's `delays_us` are identified. A process may have
    /// opened connections before it was registered, so connections of unidentified processes are
    /// reset.
    pub fn set_cut_sources(&self, sources: BTreeSet<String>) {
        let next_number = self.counters.accepted.load(Relaxed);
        self.state.send_modify(|state| {
            state.cut_sources = sources;
            state.reset_unidentified_below = next_number;
        });
    }

    /// Permanently stops traffic on the connections open now. New connections work.
    pub fn freeze_open(&self) {
        let next_number = self.counters.accepted.load(Relaxed);
        self.state
            .send_modify(|state| state.frozen_below = next_number);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        let next_number = self.counters.accepted.load(Relaxed);
        self.state
            .send_modify(|state| state.reset_below = next_number);
    }

    /// Returns the current state and counters.
    pub fn report(&self) -> LinkReport {
        let state = self.state.borrow();
        LinkReport {
            name: self.name.clone(),
            protocol: self.protocol,
            listen: self.listen,
            target: state.target,
            mode: state.mode,
            delay_us: u64::try_from(state.delay.as_micros()).unwrap_or(u64::MAX),
            accepted: self.counters.accepted.load(Relaxed),
            open: self.counters.open.load(Relaxed),
            delivered: self.counters.delivered.load(Relaxed),
            discarded: self.counters.discarded.load(Relaxed),
        }
    }
}
