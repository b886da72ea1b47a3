//! An open connection to another host, and the calls that wait for an answer on it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::clock;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::mesh::frame::CallId;
use crate::mesh::frame::Response;
use crate::mesh::frame::WithId;
use crate::mesh::frame_queue::FrameSender;
use crate::mesh::frame_queue::QueueError;
use crate::mesh::link;
use crate::policy::ping_schedule;

/// A ping without an answer for this long closes the connection. Processes on shared cores answer
/// within tens of milliseconds.
const PING_TIMEOUT: Duration = Duration::from_millis(900);

/// The calling side of an open connection.
#[derive(Debug)]
pub struct PeerConnection {
    queue: FrameSender,
    pending: RefCell<HashMap<CallId, oneshot::Sender<Response>>>,
    /// When the last frame of the peer arrived.
    last_heard: Cell<Duration>,
    /// Notified when a call has waited so long that the connection may be silent.
    suspected: Notify,
}

impl PeerConnection {
    /// Creates the calling side; frames to send are put into `queue`.
    pub fn new(queue: FrameSender) -> Self {
        Self {
            queue,
            pending: RefCell::default(),
            last_heard: Cell::new(clock::now()),
            suspected: Notify::new(),
        }
    }

    /// Queues a message that has no answer.
    pub fn notify(&self, id: CallId, body: Call) -> Result<(), CallError> {
        self.enqueue(id, body)
    }

    /// Sends a call and waits for the answer. If nothing arrives from the peer for some time, the
    /// connection is probed meanwhile.
    pub async fn call(
        &self,
        id: CallId,
        body: Call,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let sent = clock::now();
        let probe_delay = ping_schedule::probe_delay(body.hold());
        let mut receiver = self.send(id, body)?;
        let mut answer = tokio::time::timeout(probe_delay.min(limit), &mut receiver).await;
        if answer.is_err() && self.last_heard.get() <= sent {
            self.suspected.notify_one();
        }
        if answer.is_err() && probe_delay < limit {
            answer = tokio::time::timeout(limit - probe_delay, receiver).await;
        }
        self.finish(id, answer)
    }

    /// Pings the peer when nothing was heard for the interval, or when a call had to wait. Returns
    /// when a ping got no answer.
    pub async fn ping_until_failure(
        &self,
        next_id: impl Fn() -> CallId,
        connections: impl Fn() -> usize,
    ) {
        loop {
            let interval = ping_schedule::interval(connections());
            let rest = (self.last_heard.get() + interval).saturating_sub(clock::now());
            let suspected = tokio::select! {
                () = tokio::time::sleep(rest) => false,
                () = self.suspected.notified() => true,
            };
            let due = ping_schedule::is_due(self.last_heard.get(), connections(), clock::now());
            if (suspected || due) && self.ping(next_id()).await.is_err() {
                return;
            }
        }
    }

    async fn ping(&self, id: CallId) -> Result<Response, CallError> {
        let receiver = self.send(id, Call::Ping)?;
        let answer = tokio::time::timeout(PING_TIMEOUT, receiver).await;
        self.finish(id, answer)
    }

    /// Delivers an answer to its caller.
    pub fn on_answer(&self, answer: WithId<Response>) {
        self.last_heard.set(clock::now());
        let waiter = self.pending.borrow_mut().remove(&answer.id);
        if let Some(waiter) = waiter {
            // The receiver is gone if the call has timed out.
            let _ = waiter.send(answer.body);
        }
    }

    /// Fails a call whose answer was skipped for lack of memory.
    pub fn on_refused(&self, id: CallId) {
        self.last_heard.set(clock::now());
        // Dropping the sender ends the wait.
        self.pending.borrow_mut().remove(&id);
    }

    /// Fails all calls that wait for an answer.
    pub fn fail_pending(&self) {
        // Dropping the senders ends the waits.
        self.pending.borrow_mut().clear();
    }

    fn send(&self, id: CallId, body: Call) -> Result<oneshot::Receiver<Response>, CallError> {
        let (sender, receiver) = oneshot::channel();
        self.enqueue(id, body)?;
        self.pending.borrow_mut().insert(id, sender);
        Ok(receiver)
    }

    fn finish<E>(
        &self,
        id: CallId,
        answer: Result<Result<Response, oneshot::error::RecvError>, E>,
    ) -> Result<Response, CallError> {
        self.pending.borrow_mut().remove(&id);
        match answer {
            Ok(Ok(body)) => Ok(body),
            _ => Err(CallError::Lost),
        }
    }

    /// Queues a call. Only statements of clients are refused when the memory for clients is short.
    fn enqueue(&self, id: CallId, body: Call) -> Result<(), CallError> {
        let refusable = matches!(body, Call::Run { .. });
        let frame = link::encode(&WithId { id, body }).map_err(|_| CallError::TooLarge)?;
        let sent = self.queue.send(frame, refusable);
        sent.map_err(|error| match error {
            QueueError::Closed => CallError::Unreachable,
            QueueError::Memory => CallError::Memory,
        })
    }
}
