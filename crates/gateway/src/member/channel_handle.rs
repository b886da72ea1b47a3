//! Sends statements to a channel, on this host or another.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::model::error_code::ErrorCode;
use crate::model::job::Job;
use crate::model::outcome::Cause;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;

/// Statements that may wait on a channel; callers send one at a time.
const QUEUE_LENGTH: usize = 2;
/// A job and where its outcome goes.
pub type Entry = (Job, oneshot::Sender<Outcome>);

/// Sends jobs to a channel. Dropping it ends the channel.
#[derive(Debug, Clone)]
pub struct ChannelHandle {
    jobs: mpsc::Sender<Entry>,
}

impl ChannelHandle {
    /// A channel whose jobs are received by the caller.
    pub fn pair() -> (Self, mpsc::Receiver<Entry>) {
        let (jobs, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Self { jobs }, receiver)
    }

    /// Hands a job over; the outcome follows.
    pub fn send(&self, job: Job) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        if let Err(error) = self.jobs.try_send((job, sender)) {
            let (_, sender) = error.into_inner();
            // The receiver is held just below.
            let _ = sender.send(Err(failure(ErrorCode::Aborted, Cause::Idle)));
        }
        receiver
    }
}

/// Waits for the outcome of a job.
pub async fn outcome(receiver: oneshot::Receiver<Outcome>) -> Outcome {
    let ended = || Err(failure(ErrorCode::Unknown, Cause::Connection));
    receiver.await.unwrap_or_else(|_| ended())
}
