//! Sends jobs to a channel, which runs on this host or another.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::model::error_code::ErrorCode;
use crate::model::job::Job;
use crate::model::outcome::Cause;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;

/// Jobs that may wait in a channel's queue. Callers send one at a time.
const QUEUE_LENGTH: usize = 2;

/// A job and the sender for its outcome.
pub type QueuedJob = (Job, oneshot::Sender<Outcome>);

/// Sends jobs to a channel. Dropping it ends the channel.
#[derive(Debug, Clone)]
pub struct ChannelHandle {
    jobs: mpsc::Sender<QueuedJob>,
}

impl ChannelHandle {
    /// Creates a handle and the receiver of its jobs.
    pub fn pair() -> (Self, mpsc::Receiver<QueuedJob>) {
        let (jobs, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Self { jobs }, receiver)
    }

    /// Queues a job and returns the receiver of its outcome.
    pub fn send(&self, job: Job) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        if let Err(error) = self.jobs.try_send((job, sender)) {
            let (_, sender) = error.into_inner();
            // Cannot fail: the receiver is still held here.
            let _ = sender.send(Err(failure(ErrorCode::Aborted, Cause::Idle)));
        }
        receiver
    }
}

/// Waits for the outcome of a job. It is unknown if the channel ended without reporting it.
pub async fn outcome(receiver: oneshot::Receiver<Outcome>) -> Outcome {
    let dropped = || Err(failure(ErrorCode::Unknown, Cause::Connection));
    receiver.await.unwrap_or_else(|_| dropped())
}
