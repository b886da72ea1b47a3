//! Accepts connections from peers and forwards their frames.

use std::sync::Arc;
use std::time::Instant;

use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use rustls_pki_types::CertificateDer;
use tokio::sync::mpsc;
use tracing::warn;

use crate::mesh::frame::Frame;
use crate::mesh::mesh_error::MeshError;
use crate::mesh::stats::Stats;
use crate::mesh::tls;

/// Maximum frame size; a configuration push holds at most a few objects of 1 MB.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Runs until the endpoint closes or the receiver of frames is dropped.
pub(crate) async fn run(endpoint: Endpoint, frames: mpsc::Sender<Frame>, stats: Arc<Stats>) {
    while let Some(incoming) = endpoint.accept().await {
        if frames.is_closed() {
            return;
        }
        tokio::spawn(serve(incoming, frames.clone(), stats.clone()));
    }
}

async fn serve(incoming: Incoming, frames: mpsc::Sender<Frame>, stats: Arc<Stats>) {
    let address = incoming.remote_address();
    let Err(error) = receive(incoming, &frames, &stats).await else {
        return;
    };
    // Timeouts and closes by the peer are normal when it stops or is replaced; other errors are
    // logged.
    if !matches!(
        error,
        MeshError::Connection(
            quinn::ConnectionError::TimedOut | quinn::ConnectionError::ApplicationClosed(_)
        )
    ) {
        stats.on_refused();
        warn!(event = 312, %address, %error, "control connection from a peer rejected or closed");
    }
}

async fn receive(
    incoming: Incoming,
    frames: &mpsc::Sender<Frame>,
    stats: &Stats,
) -> Result<(), MeshError> {
    let connection = incoming.await?;
    let mut sender = None;
    let mut counted = 0;
    loop {
        let total = connection.stats().udp_tx.bytes;
        stats.on_wire(total - counted);
        counted = total;
        let data = tokio::select! {
            datagram = connection.read_datagram() => datagram?,
            stream = connection.accept_uni() => {
                let mut stream = stream?;
                match stream.read_to_end(MAX_FRAME_BYTES).await {
                    Ok(data) => data.into(),
                    Err(_) => continue,
                }
            }
        };
        let started = Instant::now();
        stats.on_received(data.len());
        let frame = match Frame::decode(&data) {
            Ok(frame) => frame,
            // A newer daemon may send frames of a kind that this version does not know; its other
            // frames remain readable.
            Err(error) => {
                stats.on_refused();
                warn!(event = 313, %error, "control frame rejected");
                continue;
            }
        };
        if sender.as_ref() != Some(&frame.sender) {
            if sender.is_some() || !is_certified(&connection, &frame.sender) {
                connection.close(1u32.into(), b"name");
                return Err(MeshError::Name(frame.sender));
            }
            sender = Some(frame.sender.clone());
        }
        stats.on_busy(started.elapsed());
        if frames.send(frame).await.is_err() {
            return Ok(());
        }
    }
}

fn is_certified(connection: &Connection, host: &str) -> bool {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|i| i.downcast::<Vec<CertificateDer<'static>>>().ok());
    chain.is_some_and(|c| {
        c.first()
            .is_some_and(|leaf| tls::certificate_names(leaf, host))
    })
}
