//! Statements of one organisation that wait for a token.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::oneshot;

/// Longest wait for a token: enough for a loan to arrive after a load has moved to this host.
pub(crate) const WAIT_MAX: Duration = Duration::from_millis(1_500);

/// Waiting statements in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct RateQueue {
    waiting: VecDeque<oneshot::Sender<()>>,
}

impl RateQueue {
    pub(crate) fn push(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.push_back(sender);
        receiver
    }

    /// Number of statements that still wait.
    pub(crate) fn len(&mut self) -> usize {
        self.waiting.retain(|w| !w.is_closed());
        self.waiting.len()
    }

    /// Admits waiting statements as long as `take` yields tokens.
    pub(crate) fn serve(&mut self, mut take: impl FnMut() -> bool) {
        while let Some(front) = self.waiting.front() {
            if front.is_closed() {
                self.waiting.pop_front();
                continue;
            }
            if !take() {
                return;
            }
            // A statement that gave up in between leaves its token to the next one.
            while let Some(waiter) = self.waiting.pop_front() {
                if waiter.send(()).is_ok() {
                    break;
                }
            }
        }
    }
}
