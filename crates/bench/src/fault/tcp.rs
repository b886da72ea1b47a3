//! Forwards TCP connections of a link.

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

use crate::fault::counts::Counts;
use crate::fault::gate::Gate;
use crate::fault::mode::LinkMode;
use crate::fault::sources::Sources;
use crate::fault::state::ConnectionNumber;
use crate::fault::state::LinkState;

/// Bytes taken from a socket at once.
const CHUNK: usize = 16 * 1024;
/// Chunks in flight per direction; beyond it the sender meets TCP's own back-pressure.
const IN_FLIGHT: usize = 256;

/// Wait after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections until the link's handle is dropped.
pub(super) async fn serve(
    listener: TcpListener,
    mut state: watch::Receiver<LinkState>,
    counts: Arc<Counts>,
    sources: Sources,
) {
    loop {
        let (client, peer) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => {
                    // Usually too many open files, which lasts until others are closed.
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = closed(&mut state) => return,
        };
        let number = counts.accepted.fetch_add(1, Relaxed);
        let (state, counts, sources) = (state.clone(), counts.clone(), sources.clone());
        tokio::spawn(async move {
            let names: Vec<_> = state.borrow().delays.keys().cloned().collect();
            let source = match client.local_addr() {
                Ok(listen) if !names.is_empty() => sources.of_tcp(peer, listen, names).await,
                _ => None,
            };
            connection(client, number, source, state, &counts).await;
        });
    }
}

async fn closed(state: &mut watch::Receiver<LinkState>) {
    while state.changed().await.is_ok() {}
}

async fn connection(
    mut client: TcpStream,
    number: ConnectionNumber,
    source: Option<String>,
    mut state: watch::Receiver<LinkState>,
    counts: &Counts,
) {
    counts.open.fetch_add(1, Relaxed);
    let mut watcher = state.clone();
    let mut target = None;
    let forwarded = async {
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
            counts,
        };
        let back = Direction {
            number,
            forward: false,
            state: state.clone(),
            source: source.as_deref(),
            counts,
        };
        tokio::try_join!(
            forward.run(client_read, server_write),
            back.run(server_read, client_write)
        )
    };
    let clean = tokio::select! {
        result = forwarded => result.is_ok(),
        _ = watcher.wait_for(|s| s.is_reset(number, source.as_deref())) => false,
    };
    if !clean {
        // An error or reset on one side must not look like a regular end on the other.
        let _ = client.set_zero_linger();
        if let Some(server) = &target {
            let _ = server.set_zero_linger();
        }
    }
    counts.open.fetch_sub(1, Relaxed);
}

/// Connects to the target once the link lets new connections through. A connection that arrived
/// during a cut fails when the cut ends, like one whose SYN was lost for too long.
async fn connect(
    number: ConnectionNumber,
    source: Option<&str>,
    state: &mut watch::Receiver<LinkState>,
) -> io::Result<TcpStream> {
    let gone = |_| io::Error::from(io::ErrorKind::ConnectionAborted);
    let arrival = state.borrow().mode_of(source);
    let cut = !matches!(arrival, LinkMode::Pass | LinkMode::Freeze);
    let (target, delay) = {
        let open = state
            .wait_for(|s| {
                s.target.is_some()
                    && s.mode_of(source) == LinkMode::Pass
                    && number >= s.frozen_below
            })
            .await
            .map_err(gone)?;
        (open.target, open.delay_of(source))
    };
    match target {
        Some(target) if !cut => {
            // The handshake takes a round trip of the link.
            sleep_until(Instant::now() + delay * 2).await;
            TcpStream::connect(target).await
        }
        _ => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

struct Direction<'a> {
    number: ConnectionNumber,
    forward: bool,
    source: Option<&'a str>,
    state: watch::Receiver<LinkState>,
    counts: &'a Counts,
}

impl Direction<'_> {
    async fn run(self, read: ReadHalf<'_>, write: WriteHalf<'_>) -> io::Result<()> {
        let (queue, chunks) = mpsc::channel(IN_FLIGHT);
        let (source, state) = (self.source, self.state.clone());
        tokio::try_join!(
            feed(read, queue, source, state),
            self.deliver(chunks, write)
        )?;
        Ok(())
    }

    async fn deliver(
        mut self,
        mut chunks: mpsc::Receiver<(Instant, Bytes)>,
        mut write: WriteHalf<'_>,
    ) -> io::Result<()> {
        // An empty chunk stands for the end of the stream.
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            match self.open_gate().await? {
                Gate::Discard => {
                    let lost = chunk.len() as u64;
                    self.counts.discarded.fetch_add(lost, Relaxed);
                    return self.swallow(chunks).await;
                }
                _ if chunk.is_empty() => return write.shutdown().await,
                _ => write.write_all(&chunk).await?,
            }
            self.counts.delivered.fetch_add(chunk.len() as u64, Relaxed);
        }
        Ok(())
    }

    /// Waits while the direction is on hold.
    async fn open_gate(&mut self) -> io::Result<Gate> {
        let (number, source, forward) = (self.number, self.source, self.forward);
        let state = self
            .state
            .wait_for(|s| s.gate(number, source, forward) != Gate::Hold)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::ConnectionAborted))?;
        Ok(state.gate(number, source, forward))
    }

    /// Discards the rest of a stream that has a gap, and fails once the cut has ended.
    async fn swallow(mut self, mut chunks: mpsc::Receiver<(Instant, Bytes)>) -> io::Result<()> {
        let (number, source, forward) = (self.number, self.source, self.forward);
        let counts = self.counts;
        let discard = async {
            while let Some((_, chunk)) = chunks.recv().await {
                counts.discarded.fetch_add(chunk.len() as u64, Relaxed);
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = discard => {}
            _ = self.state.wait_for(|s| s.gate(number, source, forward) == Gate::Pass) => {}
        }
        Err(io::ErrorKind::ConnectionReset.into())
    }
}

async fn feed(
    mut read: ReadHalf<'_>,
    queue: mpsc::Sender<(Instant, Bytes)>,
    source: Option<&str>,
    state: watch::Receiver<LinkState>,
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(CHUNK);
        let count = read.read_buf(&mut buffer).await?;
        let due = Instant::now() + state.borrow().delay_of(source);
        if queue.send((due, buffer.split().freeze())).await.is_err() || count == 0 {
            return Ok(());
        }
    }
}
