//! Forwards the TCP connections of a link.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::fault::link_counters::LinkCounters;
use crate::fault::mode::LinkMode;
use crate::fault::sources::Sources;
use crate::fault::state::ConnectionNumber;
use crate::fault::state::LinkState;
use crate::fault::traffic_action::TrafficAction;

/// Space reserved in the buffer for one read from a socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of queued chunks per direction. When the queue is full, reading stops and TCP
/// flow control slows the sender.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Delay before the next attempt after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections until the link's handle is dropped.
pub(super) async fn serve(
    listener: TcpListener,
    mut state: watch::Receiver<LinkState>,
    counters: Arc<LinkCounters>,
    sources: Sources,
) {
    loop {
        let (client, peer) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => {
                    // Usually the limit on open files, which lasts until some are closed.
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = wait_until_link_closed(&mut state) => return,
        };
        let number = counters.accepted.fetch_add(1, Relaxed);
        let (state, counters, sources) = (state.clone(), counters.clone(), sources.clone());
        tokio::spawn(async move {
            let names: Vec<_> = state.borrow().delays.keys().cloned().collect();
            let source = match client.local_addr() {
                Ok(listen) if !names.is_empty() => {
                    sources.find_tcp_client(peer, listen, names).await
                }
                _ => None,
            };
            connection(client, number, source, state, &counters).await;
        });
    }
}

/// Returns once the link's handle has been dropped.
async fn wait_until_link_closed(state: &mut watch::Receiver<LinkState>) {
    while state.changed().await.is_ok() {}
}

async fn connection(
    mut client: TcpStream,
    number: ConnectionNumber,
    source: Option<String>,
    mut state: watch::Receiver<LinkState>,
    counters: &LinkCounters,
) {
    counters.open.fetch_add(1, Relaxed);
    let mut watcher = state.clone();
    let mut target = None;
    let forwarding = async {
        let server = target.insert(connect(number, source.as_deref(), &mut state).await?);
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let forward = Direction {
            number,
            forward: true,
            state: state.clone(),
            source: source.as_deref(),
            counters,
        };
        let back = Direction {
            number,
            forward: false,
            state: state.clone(),
            source: source.as_deref(),
            counters,
        };
        tokio::try_join!(
            forward.run(client_read, server_write),
            back.run(server_read, client_write)
        )
    };
    let closed_normally = tokio::select! {
        result = forwarding => result.is_ok(),
        _ = watcher.wait_for(|s| s.must_reset(number, source.as_deref())) => false,
    };
    if !closed_normally {
        // Pass an error or reset on one side to the other as a reset, not as a normal close.
        let _ = client.set_zero_linger();
        if let Some(server) = &target {
            let _ = server.set_zero_linger();
        }
    }
    counters.open.fetch_sub(1, Relaxed);
}

/// Connects to the target once the link accepts new connections. A connection that arrived during
/// a cut fails when the cut ends, like a connection attempt that timed out because its SYN
/// packets were lost.
async fn connect(
    number: ConnectionNumber,
    source: Option<&str>,
    state: &mut watch::Receiver<LinkState>,
) -> io::Result<TcpStream> {
    let link_closed = |_| io::Error::from(io::ErrorKind::ConnectionAborted);
    let mode_at_arrival = state.borrow().mode_for(source);
    let arrived_during_cut = !matches!(mode_at_arrival, LinkMode::Pass | LinkMode::Freeze);
    let (target, delay) = {
        let open = state
            .wait_for(|s| {
                s.target.is_some()
                    && s.mode_for(source) == LinkMode::Pass
                    && number >= s.frozen_below
            })
            .await
            .map_err(link_closed)?;
        (open.target, open.delay_for(source))
    };
    match target {
        Some(target) if !arrived_during_cut => {
            // A TCP handshake takes one round trip.
            sleep_until(Instant::now() + delay * 2).await;
            TcpStream::connect(target).await
        }
        _ => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

/// One direction of a forwarded connection.
struct Direction<'a> {
    number: ConnectionNumber,
    forward: bool,
    source: Option<&'a str>,
    state: watch::Receiver<LinkState>,
    counters: &'a LinkCounters,
}

impl Direction<'_> {
    async fn run(self, read: ReadHalf<'_>, write: WriteHalf<'_>) -> io::Result<()> {
        let (queue, chunks) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
        let (source, state) = (self.source, self.state.clone());
        tokio::try_join!(
            read_chunks(read, queue, source, state),
            self.deliver(chunks, write)
        )?;
        Ok(())
    }

    async fn deliver(
        mut self,
        mut chunks: mpsc::Receiver<(Instant, Bytes)>,
        mut write: WriteHalf<'_>,
    ) -> io::Result<()> {
        // An empty chunk marks the end of the stream.
        while let Some((deliver_at, chunk)) = chunks.recv().await {
            sleep_until(deliver_at).await;
            match self.wait_until_released().await? {
                TrafficAction::Discard => {
                    let discarded_bytes = chunk.len() as u64;
                    self.counters.discarded.fetch_add(discarded_bytes, Relaxed);
                    return self.discard_until_cut_ends(chunks).await;
                }
                _ if chunk.is_empty() => return write.shutdown().await,
                _ => write.write_all(&chunk).await?,
            }
            self.counters
                .delivered
                .fetch_add(chunk.len() as u64, Relaxed);
        }
        Ok(())
    }

    /// Waits while traffic is held, then returns whether to pass or discard it.
    async fn wait_until_released(&mut self) -> io::Result<TrafficAction> {
        let (number, source, forward) = (self.number, self.source, self.forward);
        let state = self
            .state
            .wait_for(|s| s.action(number, source, forward) != TrafficAction::Hold)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::ConnectionAborted))?;
        Ok(state.action(number, source, forward))
    }

    /// Discards the rest of a stream that has a gap. Fails once the cut has ended, which resets the
    /// connection.
    async fn discard_until_cut_ends(
        mut self,
        mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    ) -> io::Result<()> {
        let (number, source, forward) = (self.number, self.source, self.forward);
        let counters = self.counters;
        let discard = async {
            while let Some((_, chunk)) = chunks.recv().await {
                counters.discarded.fetch_add(chunk.len() as u64, Relaxed);
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = discard => {}
            _ = self.state.wait_for(|s| s.action(number, source, forward) == TrafficAction::Pass) => {}
        }
        Err(io::ErrorKind::ConnectionReset.into())
    }
}

/// Queues the data read from a socket, each chunk with the time at which it is to be delivered.
async fn read_chunks(
    mut read: ReadHalf<'_>,
    queue: mpsc::Sender<(Instant, Bytes)>,
    source: Option<&str>,
    state: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(READ_CHUNK_BYTES);
        let count = read.read_buf(&mut buffer).await?;
        let deliver_at = Instant::now() + state.borrow().delay_for(source);
        if queue
            .send((deliver_at, buffer.split().freeze()))
            .await
            .is_err()
            || count == 0
        {
            return Ok(());
        }
    }
}
