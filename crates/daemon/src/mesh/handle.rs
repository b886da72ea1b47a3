//! Handle and main task of the control mesh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use magnoliahatch_client::config_patch::ConfigPatch;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::message::Message;
use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tracing::info;
use tracing::warn;

use crate::limits::channel::Incoming;
use crate::limits::channel::MeshChannel;
use crate::mesh::announcement::Announcement;
use crate::mesh::dialer::Dialer;
use crate::mesh::event::MeshEvent;
use crate::mesh::frame::Body;
use crate::mesh::frame::Frame;
use crate::mesh::mesh_error::MeshError;
use crate::mesh::outbound::Outbound;
use crate::mesh::peer_report::PeerReport;
use crate::mesh::receive;
use crate::mesh::settings::MeshSettings;
use crate::mesh::stats::Stats;
use crate::mesh::tls;

/// Capacity of each channel between the main task and the other tasks.
const CHANNEL_CAPACITY: usize = 1024;

/// Latest announcement of each peer.
pub type Reports = BTreeMap<HostId, PeerReport>;

/// Handle to the mesh. Its main task ends when the link to the limits module or the configuration
/// channel closes.
#[derive(Debug, Clone)]
pub struct Mesh {
    address: SocketAddr,
    reports: watch::Receiver<Reports>,
    requests: mpsc::Sender<(HostId, u64, Body)>,
    stats: Arc<Stats>,
}

struct Task {
    host: HostId,
    incarnation: Incarnation,
    endpoint: Endpoint,
    dialer: Arc<Dialer>,
    peers: BTreeMap<HostId, Outbound>,
    reports: watch::Sender<Reports>,
    events: mpsc::Sender<MeshEvent>,
    stats: Arc<Stats>,
}

impl Mesh {
    /// Binds the control address and starts the tasks. The returned channel delivers the
    /// configuration messages from peers.
    pub fn bind(
        settings: &MeshSettings,
        host: HostId,
        incarnation: Incarnation,
        channel: MeshChannel,
        config: watch::Receiver<Arc<ConfigView>>,
        announcement: watch::Receiver<Announcement>,
    ) -> Result<(Self, mpsc::Receiver<MeshEvent>), MeshError> {
        let (server, client) = tls::configs(settings)?;
        let mut endpoint = Endpoint::server(server, settings.listen).map_err(MeshError::Bind)?;
        endpoint.set_default_client_config(client.clone());
        let address = endpoint.local_addr().map_err(MeshError::Bind)?;
        let stats = Arc::new(Stats::default());
        let (frames_sender, frames) = mpsc::channel(CHANNEL_CAPACITY);
        let (events, events_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let (requests, requests_receiver) = mpsc::channel(CHANNEL_CAPACITY);
        let reports = watch::Sender::new(Reports::new());
        let mesh = Self {
            address,
            reports: reports.subscribe(),
            requests,
            stats: stats.clone(),
        };
        tokio::spawn(receive::run(endpoint.clone(), frames_sender, stats.clone()));
        let dialer = Dialer::new(endpoint.clone(), settings.listen.ip(), client);
        let task = Task {
            host,
            incarnation,
            endpoint,
            dialer: Arc::new(dialer),
            peers: BTreeMap::new(),
            reports,
            events,
            stats,
        };
        tokio::spawn(task.run(channel, config, announcement, frames, requests_receiver));
        Ok((mesh, events_receiver))
    }

    /// The bound control address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Latest announcement of each peer.
    pub fn reports(&self) -> watch::Receiver<Reports> {
        self.reports.clone()
    }

    pub fn stats(&self) -> &Stats {
        &self.stats
    }

    /// Requests all changes after a revision from a peer. Lost requests are not repeated.
    pub fn pull(&self, to: &HostId, request: u64, after: Revision) {
        self.queue_request(to, request, Body::ConfigPull(after));
    }

    /// Sends changes to a peer, as the answer to a pull, or unsolicited with request 0.
    pub fn push(&self, to: &HostId, request: u64, changes: &ConfigPatch) {
        match serde_json::to_string(changes) {
            Ok(text) => self.queue_request(to, request, Body::ConfigPush(text)),
            Err(error) => warn!(event = 314, %error, "configuration changes cannot be encoded"),
        }
    }

    fn queue_request(&self, to: &HostId, request: u64, body: Body) {
        if self.requests.try_send((to.clone(), request, body)).is_err() {
            self.stats.on_dropped();
        }
    }
}

impl Task {
    async fn run(
        mut self,
        mut channel: MeshChannel,
        mut config: watch::Receiver<Arc<ConfigView>>,
        mut announcement: watch::Receiver<Announcement>,
        mut frames: mpsc::Receiver<Frame>,
        mut requests: mpsc::Receiver<(HostId, u64, Body)>,
    ) {
        self.set_peers(&config.borrow_and_update().clone());
        let mut last_sent = announcement.borrow_and_update().clone();
        loop {
            tokio::select! {
                frame = frames.recv() => match frame {
                    Some(frame) => self.on_frame(frame, &channel),
                    None => break,
                },
                outgoing = channel.input.recv() => match outgoing {
                    Some(outgoing) => {
                        let body = Body::from_message(outgoing.message, &announcement.borrow());
                        self.send(&outgoing.to, 0, body);
                    }
                    None => break,
                },
                Some((to, request, body)) = requests.recv() => self.send(&to, request, body),
                Ok(()) = announcement.changed() => {
                    let announcement = announcement.borrow_and_update().clone();
                    if announcement.is_urgent_after(&last_sent) {
                        last_sent = announcement.clone();
                        for peer in self.peers.keys() {
                            self.send(peer, 0, Body::Announce(announcement.clone()));
                        }
                    }
                }
                changed = config.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    self.set_peers(&config.borrow_and_update().clone());
                }
            }
        }
        self.endpoint.close(0u32.into(), b"stopping");
        info!(event = 315, "control mesh stopped");
    }

    fn set_peers(&mut self, view: &ConfigView) {
        self.peers.retain(|host, peer| {
            let status = view.hosts.get(host);
            status.is_some_and(|s| s.control == peer.address)
        });
        for (host, status) in view.hosts.iter().filter(|(host, _)| **host != self.host) {
            if !self.peers.contains_key(host) {
                let dialer = Arc::clone(&self.dialer);
                let stats = self.stats.clone();
                let peer = Outbound::spawn(host.clone(), status.control, dialer, stats);
                self.peers.insert(host.clone(), peer);
            }
        }
    }

    fn send(&self, to: &HostId, request: u64, body: Body) {
        let Some(peer) = self.peers.get(to) else {
            self.stats.on_dropped();
            return;
        };
        let started = Instant::now();
        let frame = Frame {
            sender: self.host.clone(),
            incarnation: self.incarnation,
            request,
            body,
        };
        match frame.encode() {
            Ok(data) => peer.send(Bytes::from(data)),
            Err(error) => warn!(event = 314, %error, "control frame cannot be encoded"),
        }
        self.stats.on_busy(started.elapsed());
    }

    fn on_frame(&self, frame: Frame, channel: &MeshChannel) {
        let Frame {
            sender,
            incarnation,
            request,
            body,
        } = frame;
        let message = match body {
            Body::Heartbeat(heartbeat, announcement) => {
                self.store_report(&sender, incarnation, announcement);
                Message::Heartbeat(heartbeat)
            }
            Body::Announce(announcement) => {
                self.store_report(&sender, incarnation, announcement);
                return;
            }
            Body::Seats(table) => Message::Seats(table),
            Body::BrokerRequest(requests) => Message::BrokerRequest(requests),
            Body::BrokerGrant(grants) => Message::BrokerGrant(grants),
            Body::LoanRequest(requests) => Message::LoanRequest(requests),
            Body::LoanGrant(grants) => Message::LoanGrant(grants),
            Body::ConfigPull(after) => {
                self.emit(MeshEvent::ConfigPull {
                    from: sender,
                    request,
                    after,
                });
                return;
            }
            Body::ConfigPush(text) => {
                match serde_json::from_str(&text) {
                    Ok(changes) => self.emit(MeshEvent::ConfigPush {
                        from: sender,
                        request,
                        changes,
                    }),
                    Err(error) => {
                        self.stats.on_refused();
                        warn!(event = 313, %error, "configuration push rejected");
                    }
                }
                return;
            }
        };
        let incoming = Incoming {
            from: sender,
            incarnation,
            message,
        };
        if channel.output.try_send(incoming).is_err() {
            self.stats.on_dropped();
        }
    }

    fn store_report(&self, sender: &HostId, incarnation: Incarnation, announcement: Announcement) {
        let report = PeerReport {
            incarnation,
            received_at: Instant::now(),
            announcement,
        };
        self.reports.send_modify(|reports| {
            reports.insert(sender.clone(), report);
        });
    }

    fn emit(&self, event: MeshEvent) {
        if self.events.try_send(event).is_err() {
            self.stats.on_dropped();
        }
    }
}
