//! Channels between limit enforcement and the control mesh.

use magnoliahatch_core::coordinator::Outgoing;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::message::Message;
use tokio::sync::mpsc;

/// A message from an authenticated peer.
#[derive(Debug)]
pub struct Incoming {
    pub from: HostId,
    pub incarnation: Incarnation,
    pub message: Message,
}

/// The end that limit enforcement holds.
#[derive(Debug)]
pub struct LimitsChannel {
    /// Messages are dropped when the channel is full, since each one is either resent or expires.
    pub output: mpsc::Sender<Outgoing>,
    pub input: mpsc::Receiver<Incoming>,
}

/// The end that the mesh holds.
#[derive(Debug)]
pub struct MeshChannel {
    pub output: mpsc::Sender<Incoming>,
    pub input: mpsc::Receiver<Outgoing>,
}

/// Number of messages that each channel buffers.
const CAPACITY: usize = 1024;

/// Creates both ends of the channels.
pub fn channel_pair() -> (LimitsChannel, MeshChannel) {
    let (to_mesh, from_limits) = mpsc::channel(CAPACITY);
    let (to_limits, from_mesh) = mpsc::channel(CAPACITY);
    (
        LimitsChannel {
            output: to_mesh,
            input: from_mesh,
        },
        MeshChannel {
            output: to_limits,
            input: from_limits,
        },
    )
}
