//! The connections of this host to the others, and the calls on them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use tokio::sync::oneshot;

use crate::client_memory::ClientMemory;
use crate::clock;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::mesh::frame::CallId;
use crate::mesh::frame::Hello;
use crate::mesh::frame::PROTOCOL_VERSION;
use crate::mesh::frame::Response;
use crate::mesh::frame::WithId;
use crate::mesh::frame_queue::frame_queue;
use crate::mesh::link;
use crate::mesh::link::Received;
use crate::mesh::peer_connection::PeerConnection;
use crate::socket;

/// Time limit for connecting, and again for the handshake. The longest path between regions takes a
/// few ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long no further attempt is made after a host could not be reached or its connection ended.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Calls that may wait to be written. The queue only fills if the peer does not read.
const QUEUE_LENGTH: usize = 2048;

#[derive(Debug, Default)]
struct Peer {
    address: Option<SocketAddr>,
    /// The process that has to answer; `None` for any.
    incarnation: Option<Incarnation>,
    connection: Option<Rc<PeerConnection>>,
    connecting: bool,
    waiters: Vec<oneshot::Sender<Result<Rc<PeerConnection>, CallError>>>,
    /// When the last connection attempt failed or the last connection ended; `None` after a
    /// successful attempt.
    last_failure: Option<Duration>,
}

/// Connections to the other hosts, opened on first use.
#[derive(Debug)]
pub struct MeshHandle {
    host: HostId,
    own_incarnation: Incarnation,
    memory: Rc<ClientMemory>,
    peers: RefCell<BTreeMap<HostId, Peer>>,
    next_id: Cell<CallId>,
    /// Number of open connections.
    connections: Cell<usize>,
    /// Incremented whenever a host is found unreachable or reachable again.
    revision: Cell<u64>,
}

impl MeshHandle {
    pub fn open(host: HostId, own_incarnation: Incarnation, memory: Rc<ClientMemory>) -> Rc<Self> {
        Rc::new(Self {
            host,
            own_incarnation,
            memory,
            peers: RefCell::default(),
            next_id: Cell::new(1),
            connections: Cell::new(0),
            revision: Cell::new(0),
        })
    }

    /// Sets the other hosts. Connections to hosts that were removed, or whose address or
    /// incarnation changed, are no longer used. Unverified hosts are kept while the list is not
    /// `complete`.
    pub fn set_hosts<'a>(
        &self,
        hosts: impl Iterator<Item = (&'a HostId, SocketAddr, Incarnation)>,
        complete: bool,
    ) {
        let mut peers = self.peers.borrow_mut();
        let mut known: BTreeMap<HostId, Peer> = BTreeMap::new();
        for (host, address, incarnation) in hosts {
            let mut peer = peers.remove(host).unwrap_or_default();
            if peer.address != Some(address) || peer.incarnation != Some(incarnation) {
                peer.connection = None;
                peer.last_failure = None;
                peer.address = Some(address);
                peer.incarnation = Some(incarnation);
            }
            known.insert(host.clone(), peer);
        }
        if !complete {
            peers.retain(|_, peer| peer.incarnation.is_none());
            known.append(&mut peers);
        }
        *peers = known;
        self.revision.set(self.revision.get() + 1);
    }

    /// Whether the last connection to a host failed and there has been none since. Also true for
    /// unknown hosts.
    pub fn is_down(&self, host: &str) -> bool {
        let peers = self.peers.borrow();
        peers
            .get(host)
            .is_none_or(|p| p.connection.is_none() && p.last_failure.is_some())
    }

    /// Adds hosts by their addresses, whatever process runs there. Does not change known hosts.
    pub fn set_unverified_hosts<'a>(&self, hosts: impl Iterator<Item = (&'a HostId, SocketAddr)>) {
        let mut peers = self.peers.borrow_mut();
        for (host, address) in hosts {
            peers.entry(host.clone()).or_insert_with(|| Peer {
                address: Some(address),
                ..Peer::default()
            });
        }
        self.revision.set(self.revision.get() + 1);
    }

    /// Changes whenever the result of `is_down` may have changed for any host.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Calls a host and waits for the answer. `limit` does not include the time to connect.
    pub async fn call(
        self: &Rc<Self>,
        host: &str,
        body: Call,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let connection = self.connection(host).await?;
        connection.call(self.next_id(), body, limit).await
    }

    /// Sends a message that has no answer.
    pub async fn notify(self: &Rc<Self>, host: &str, body: Call) -> Result<(), CallError> {
        let connection = self.connection(host).await?;
        connection.notify(self.next_id(), body)
    }

    /// Returns an unused id for a call or a channel.
    pub fn next_id(&self) -> CallId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    async fn connection(self: &Rc<Self>, host: &str) -> Result<Rc<PeerConnection>, CallError> {
        let receiver = {
            let mut peers = self.peers.borrow_mut();
            let peer = peers.get_mut(host).ok_or(CallError::Unreachable)?;
            if let Some(connection) = &peer.connection {
                return Ok(connection.clone());
            }
            let recent = |at| clock::now().saturating_sub(at) < RETRY_DELAY;
            if peer.last_failure.is_some_and(recent) {
                return Err(CallError::Unreachable);
            }
            let (sender, receiver) = oneshot::channel();
            peer.waiters.push(sender);
            if !peer.connecting {
                peer.connecting = true;
                let address = peer.address.ok_or(CallError::Unreachable)?;
                let task = self
                    .clone()
                    .connect_peer(host.to_owned(), address, peer.incarnation);
                tokio::task::spawn_local(task);
            }
            receiver
        };
        receiver.await.unwrap_or(Err(CallError::Unreachable))
    }

    async fn connect_peer(
        self: Rc<Self>,
        host: HostId,
        address: SocketAddr,
        incarnation: Option<Incarnation>,
    ) {
        let result = self.open_connection(&host, address, incarnation).await;
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(&host) else {
            return;
        };
        peer.connecting = false;
        self.revision.set(self.revision.get() + 1);
        match &result {
            Ok(connection) => {
                if peer.last_failure.take().is_some() {
                    tracing::info!(event = 611, host, "host can be reached again");
                }
                peer.connection = Some(connection.clone());
            }
            Err(error) => {
                if peer.last_failure.is_none() {
                    tracing::warn!(event = 610, host, %error, "host cannot be reached");
                }
                peer.last_failure = Some(clock::now());
            }
        }
        for waiter in peer.waiters.drain(..) {
            // The receiver is gone if the caller was cancelled.
            let _ = waiter.send(result.clone());
        }
    }

    async fn open_connection(
        self: &Rc<Self>,
        host: &str,
        address: SocketAddr,
        incarnation: Option<Incarnation>,
    ) -> Result<Rc<PeerConnection>, CallError> {
        // A refused connection does not show that the process ended: a firewall may refuse it.
        let stream = socket::connect(address, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|_| CallError::Unreachable)?;
        let (mut reader, mut writer) = link::split(stream, self.memory.clone());
        let hello = Hello {
            format: PROTOCOL_VERSION,
            host: self.host.clone(),
            incarnation: self.own_incarnation,
        };
        let handshake = async {
            writer.send(&hello).await?;
            reader.next::<Hello>().await
        };
        let answer = tokio::time::timeout(CONNECT_TIMEOUT, handshake).await;
        let Ok(Ok(Some(answer))) = answer else {
            return Err(CallError::Unreachable);
        };
        if incarnation.is_some_and(|i| i != answer.incarnation) {
            return Err(CallError::Ended);
        }
        let (queue, mut outgoing) = frame_queue(&self.memory, QUEUE_LENGTH);
        let connection = Rc::new(PeerConnection::new(queue));
        let shared = Rc::downgrade(&connection);
        let mesh = self.clone();
        let name = host.to_owned();
        let pinged = connection.clone();
        tokio::task::spawn_local(async move {
            let receive = async {
                while let Ok(Some(received)) = reader.receive::<WithId<Response>>().await {
                    let Some(connection) = shared.upgrade() else {
                        break;
                    };
                    match received {
                        Received::Message(answer, _) => connection.on_answer(answer),
                        Received::Refused(id) => connection.on_refused(id),
                    }
                }
            };
            let pings = pinged.ping_until_failure(|| mesh.next_id(), || mesh.connections.get());
            mesh.connections.set(mesh.connections.get() + 1);
            let cause = tokio::select! {
                () = receive => "closed",
                _ = writer.send_all(&mut outgoing) => "write failed",
                () = pings => "silent",
            };
            mesh.connections.set(mesh.connections.get() - 1);
            mesh.on_disconnect(&name, &shared, cause);
        });
        Ok(connection)
    }

    fn on_disconnect(&self, host: &str, shared: &std::rc::Weak<PeerConnection>, cause: &str) {
        let Some(connection) = shared.upgrade() else {
            return;
        };
        connection.fail_pending();
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(host) else {
            return;
        };
        if peer
            .connection
            .as_ref()
            .is_some_and(|c| Rc::ptr_eq(c, &connection))
        {
            tracing::warn!(event = 612, host, cause, "connection to host ended");
            peer.connection = None;
            peer.last_failure = Some(clock::now());
            self.revision.set(self.revision.get() + 1);
        }
    }
}
