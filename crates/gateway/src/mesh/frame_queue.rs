//! Frames that wait to be sent to another host, within the memory for clients.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::client_memory::ClientMemory;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::HeldFor;

/// Bytes of waiting frames that do not count, so that small ones are sent however short the memory is.
const ALLOWANCE: u64 = 64 << 10;

/// Why a frame was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueError {
    /// The connection ended, or too many frames wait.
    Closed,
    /// The memory for clients is short.
    Memory,
}

/// The bytes that wait in a queue.
#[derive(Debug)]
struct Waiting {
    held: HeldBytes,
    bytes: u64,
}

/// Puts frames into the queue of a connection.
#[derive(Debug, Clone)]
pub struct FrameSender {
    frames: mpsc::Sender<Bytes>,
    waiting: Rc<RefCell<Waiting>>,
}

/// Takes frames out of the queue of a connection.
#[derive(Debug)]
pub struct FrameReceiver {
    frames: mpsc::Receiver<Bytes>,
    waiting: Rc<RefCell<Waiting>>,
}

/// Creates a queue of up to `length` frames.
pub fn frame_queue(memory: &Rc<ClientMemory>, length: usize) -> (FrameSender, FrameReceiver) {
    let (sender, receiver) = mpsc::channel(length);
    let held = memory.open(ALLOWANCE);
    // The queue ends with its connection, which fails if the other host does not read.
    held.set_pinned(true);
    let waiting = Rc::new(RefCell::new(Waiting { held, bytes: 0 }));
    let sender = FrameSender {
        frames: sender,
        waiting: waiting.clone(),
    };
    let receiver = FrameReceiver {
        frames: receiver,
        waiting,
    };
    (sender, receiver)
}

impl FrameSender {
    /// Queues a frame. A frame that is not `refusable` is queued however short the memory is.
    pub fn send(&self, frame: Bytes, refusable: bool) -> Result<(), QueueError> {
        let mut waiting = self.waiting.borrow_mut();
        let bytes = waiting.bytes + frame.len() as u64;
        if refusable && !waiting.held.try_set(HeldFor::Message, bytes) {
            return Err(QueueError::Memory);
        }
        let sent = self.frames.try_send(frame);
        if sent.is_ok() {
            waiting.bytes = bytes;
        }
        let bytes = waiting.bytes;
        waiting.held.set(HeldFor::Message, bytes);
        sent.map_err(|_: TrySendError<Bytes>| QueueError::Closed)
    }
}

impl FrameReceiver {
    /// Waits for the next frame. Returns `None` once no sender is left.
    pub async fn receive(&mut self) -> Option<Bytes> {
        self.frames.recv().await
    }

    /// The next frame, if one waits.
    pub fn try_receive(&mut self) -> Option<Bytes> {
        self.frames.try_recv().ok()
    }

    /// Releases the bytes of frames that were sent.
    pub fn on_sent(&self, bytes: u64) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.bytes -= bytes;
        let bytes = waiting.bytes;
        waiting.held.set(HeldFor::Message, bytes);
    }
}
