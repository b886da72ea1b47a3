//! Accepts connections of peers and hands on their frames.

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

/// Largest frame; a configuration push holds at most a few objects of 1 MB.
const FRAME_MAX: usize = 8 << 20;

/// Runs until the endpoint closes or the receiver of frames is gone.
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
    // A peer that stops or is replaced closes its connection; only refusals need attention.
    if !matches!(
        error,
        MeshError::Connection(
            quinn::ConnectionError::TimedOut | quinn::ConnectionError::ApplicationClosed(_)
        )
    ) {
        stats.on_refused();
        warn!(event = 312, %address, %error, "control connection of a peer refused or closed");
    }
}

async fn receive(
    incoming: Incoming,
    frames: &mpsc::Sender<Frame>,
    stats: &Stats,
) -> Result<(), MeshError> {
    let connection = incoming.await?;
    let mut sender = None;
    let mut wire = 0;
    loop {
        let total = connection.stats().udp_tx.bytes;
        stats.on_wire(total - wire);
        wire = total;
        let data = tokio::select! {
            datagram = connection.read_datagram() => datagram?,
            stream = connection.accept_uni() => {
                let mut stream = stream?;
                match stream.read_to_end(FRAME_MAX).await {
                    Ok(data) => data.into(),
                    Err(_) => continue,
                }
            }
        };
        let begun = Instant::now();
        stats.on_received(data.len());
        let frame = match Frame::decode(&data) {
            Ok(frame) => frame,
            // A newer daemon may send kinds of frames that this one does not know; the others
            // remain readable.
            Err(error) => {
                stats.on_refused();
                warn!(event = 313, %error, "control frame refused");
                continue;
            }
        };
        if sender.as_ref() != Some(&frame.sender) {
            if sender.is_some() || !is_named(&connection, &frame.sender) {
                connection.close(1u32.into(), b"name");
                return Err(MeshError::Name(frame.sender));
            }
            sender = Some(frame.sender.clone());
        }
        stats.on_busy(begun.elapsed());
        if frames.send(frame).await.is_err() {
            return Ok(());
        }
    }
}

fn is_named(connection: &Connection, host: &str) -> bool {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|i| i.downcast::<Vec<CertificateDer<'static>>>().ok());
    chain.is_some_and(|c| c.first().is_some_and(|leaf| tls::names(leaf, host)))
}
