//! Outbound connection to one peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use magnoliahatch_core::ids::HostId;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tracing::info;
use tracing::warn;

use crate::mesh::dialer::Dialer;
use crate::mesh::mesh_error::MeshError;
use crate::mesh::stats::Stats;

/// Maximum number of frames queued for a peer. Further ones would be out of date when sent.
const QUEUE_CAPACITY: usize = 64;
/// Delay before a reconnect; doubles with each failure up to `RECONNECT_DELAY_MAX`.
const RECONNECT_DELAY_MIN: Duration = Duration::from_millis(100);
const RECONNECT_DELAY_MAX: Duration = Duration::from_secs(1);

/// Send queue of one peer. Dropping it ends the task.
#[derive(Debug)]
pub(crate) struct Outbound {
    pub(crate) address: SocketAddr,
    queue: mpsc::Sender<Bytes>,
    stats: Arc<Stats>,
}

impl Outbound {
    pub(crate) fn spawn(
        host: HostId,
        address: SocketAddr,
        dialer: Arc<Dialer>,
        stats: Arc<Stats>,
    ) -> Self {
        let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run(host, address, dialer, frames, stats.clone()));
        Self {
            address,
            queue,
            stats,
        }
    }

    pub(crate) fn send(&self, frame: Bytes) {
        if self.queue.try_send(frame).is_err() {
            self.stats.on_dropped();
        }
    }
}

async fn run(
    host: HostId,
    address: SocketAddr,
    dialer: Arc<Dialer>,
    mut frames: mpsc::Receiver<Bytes>,
    stats: Arc<Stats>,
) {
    let mut delay = RECONNECT_DELAY_MIN;
    let mut warned = false;
    while !frames.is_closed() {
        let endpoint = dialer.endpoint();
        let error = match connect(&endpoint, address, &host).await {
            Ok(connection) => {
                info!(event = 310, peer = host, "control connection opened");
                delay = RECONNECT_DELAY_MIN;
                warned = false;
                // Frames queued in the meantime are out of date; senders repeat those that still
                // matter.
                while frames.try_recv().is_ok() {
                    stats.on_dropped();
                }
                match send_frames(&connection, &mut frames, &stats).await {
                    Ok(()) => return,
                    Err(error) => error,
                }
            }
            Err(error) => error,
        };
        if !warned {
            warn!(event = 311, peer = host, %error, "control connection failed; reconnecting");
            warned = true;
        }
        if matches!(error, MeshError::Connection(ConnectionError::TimedOut)) {
            dialer.change_port(&endpoint);
        }
        sleep(delay).await;
        delay = (delay * 2).min(RECONNECT_DELAY_MAX);
    }
}

async fn connect(
    endpoint: &Endpoint,
    address: SocketAddr,
    host: &str,
) -> Result<Connection, MeshError> {
    Ok(endpoint.connect(address, host)?.await?)
}

/// Sends frames until the queue closes or the connection is lost.
async fn send_frames(
    connection: &Connection,
    frames: &mut mpsc::Receiver<Bytes>,
    stats: &Stats,
) -> Result<(), MeshError> {
    let mut counted = 0;
    loop {
        let total = connection.stats().udp_tx.bytes;
        stats.on_wire(total - counted);
        counted = total;
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            error = connection.closed() => return Err(error.into()),
        };
        let Some(frame) = frame else { return Ok(()) };
        let size = frame.len();
        // Datagrams may be lost; the sender repeats those that still matter. Frames larger than a
        // datagram need a stream.
        if connection
            .max_datagram_size()
            .is_some_and(|max| size <= max)
        {
            connection.send_datagram(frame)?;
        } else {
            let mut stream = connection.open_uni().await?;
            stream.write_all(&frame).await?;
            // Fails only if the stream is already finished.
            let _ = stream.finish();
        }
        stats.on_sent(size);
    }
}
