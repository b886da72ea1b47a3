//! Channels between the limits and the mesh.

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

/// The limits' end.
#[derive(Debug)]
pub struct Link {
    /// Messages that do not fit are dropped: every message is repeated or expires.
    pub output: mpsc::Sender<Outgoing>,
    pub input: mpsc::Receiver<Incoming>,
}

/// The mesh's end.
#[derive(Debug)]
pub struct LinkPeer {
    pub output: mpsc::Sender<Incoming>,
    pub input: mpsc::Receiver<Outgoing>,
}

/// Messages that may wait between the two tasks.
const DEPTH: usize = 1024;

/// Creates both ends.
pub fn link() -> (Link, LinkPeer) {
    let (to_mesh, from_limits) = mpsc::channel(DEPTH);
    let (to_limits, from_mesh) = mpsc::channel(DEPTH);
    (
        Link {
            output: to_mesh,
            input: from_mesh,
        },
        LinkPeer {
            output: to_limits,
            input: from_limits,
        },
    )
}
