//! Forwards the UDP flows of a link. A flow is the traffic of one client address.

use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::fault::link_counters::LinkCounters;
use crate::fault::sources::Sources;
use crate::fault::state::ConnectionNumber;
use crate::fault::state::LinkState;
use crate::fault::traffic_action::TrafficAction;

/// Size of the receive buffers, larger than any UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Maximum number of delayed or held datagrams per direction. Further ones are dropped, as by a
/// network switch with a full queue.
const MAX_QUEUED_DATAGRAMS: usize = 1024;

type Queue = mpsc::Sender<(Instant, Bytes)>;

/// Forwards datagrams until the link's handle is dropped.
pub(super) async fn serve(
    socket: UdpSocket,
    mut state: watch::Receiver<LinkState>,
    counters: Arc<LinkCounters>,
    sources: Sources,
) {
    let socket = Arc::new(socket);
    let mut flows: HashMap<SocketAddr, FlowHandle> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (count, client) = tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok(received) => received,
                Err(_) => continue,
            },
            changed = state.changed() => match changed {
                Ok(()) => {
                    let state = state.borrow_and_update();
                    flows.retain(|_, flow| !state.must_reset(flow.number, flow.source.as_deref()));
                    continue;
                }
                Err(_) => return,
            },
        };
        let known = flows.contains_key(&client);
        let source = if known {
            None
        } else {
            sources.find_udp_client(client).await
        };
        let flow = flows.entry(client).or_insert_with(|| {
            let number = counters.accepted.fetch_add(1, Relaxed);
            let (queue, datagrams) = mpsc::channel(MAX_QUEUED_DATAGRAMS);
            let flow = Flow {
                number,
                client,
                source: source.clone(),
                socket: socket.clone(),
                state: state.clone(),
                counters: counters.clone(),
            };
            tokio::spawn(flow.run(datagrams));
            FlowHandle {
                number,
                source,
                queue,
            }
        });
        let deliver_at = Instant::now() + state.borrow().delay_for(flow.source.as_deref());
        let datagram = Bytes::copy_from_slice(&buffer[..count]);
        let queue = &flow.queue;
        if queue.try_send((deliver_at, datagram)).is_err() {
            counters.discarded.fetch_add(count as u64, Relaxed);
        }
        if queue.is_closed() {
            flows.remove(&client);
        }
    }
}

/// What the receiving task keeps of each flow.
struct FlowHandle {
    number: ConnectionNumber,
    source: Option<String>,
    queue: Queue,
}

/// Forwards the datagrams of one flow in both directions.
struct Flow {
    number: ConnectionNumber,
    client: SocketAddr,
    source: Option<String>,
    socket: Arc<UdpSocket>,
    state: watch::Receiver<LinkState>,
    counters: Arc<LinkCounters>,
}

impl Flow {
    /// Forwards until the flow's queue closes.
    async fn run(self, datagrams: mpsc::Receiver<(Instant, Bytes)>) {
        self.counters.open.fetch_add(1, Relaxed);
        let _ = self.forward(datagrams).await;
        self.counters.open.fetch_sub(1, Relaxed);
    }

    async fn forward(&self, datagrams: mpsc::Receiver<(Instant, Bytes)>) -> io::Result<()> {
        let server = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0)).await?;
        let (queue, replies) = mpsc::channel(MAX_QUEUED_DATAGRAMS);
        tokio::select! {
            () = self.deliver(true, datagrams, &server) => {}
            () = self.deliver(false, replies, &server) => {}
            () = self.receive(&server, queue) => {}
        }
        Ok(())
    }

    async fn receive(&self, server: &UdpSocket, queue: Queue) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An ICMP error, such as port unreachable, fails one receive. The flow continues.
            let Ok(count) = server.recv(&mut buffer).await else {
                continue;
            };
            let deliver_at = Instant::now() + self.state.borrow().delay_for(self.source.as_deref());
            let _ = queue.try_send((deliver_at, Bytes::copy_from_slice(&buffer[..count])));
        }
    }

    async fn deliver(
        &self,
        forward: bool,
        mut datagrams: mpsc::Receiver<(Instant, Bytes)>,
        server: &UdpSocket,
    ) {
        let mut state = self.state.clone();
        while let Some((deliver_at, datagram)) = datagrams.recv().await {
            sleep_until(deliver_at).await;
            let (number, source) = (self.number, self.source.as_deref());
            let (action, target) = match state
                .wait_for(|s| s.action(number, source, forward) != TrafficAction::Hold)
                .await
            {
                Ok(open) => (open.action(number, source, forward), open.target),
                Err(_) => return,
            };
            let sent = match (action, target) {
                (TrafficAction::Pass, Some(target)) if forward => {
                    server.send_to(&datagram, target).await.is_ok()
                }
                (TrafficAction::Pass, _) if !forward => {
                    self.socket.send_to(&datagram, self.client).await.is_ok()
                }
                _ => false,
            };
            let count = datagram.len() as u64;
            let counter = if sent {
                &self.counters.delivered
            } else {
                &self.counters.discarded
            };
            counter.fetch_add(count, Relaxed);
        }
    }
}
