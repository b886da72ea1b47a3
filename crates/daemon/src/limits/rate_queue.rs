//! Queue for the statements of one organisation that wait for a rate token.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::sync::oneshot;

/// Longest wait for a token. It is long enough for a loan from another host to arrive after the
/// load has moved to this host.
pub(crate) const MAX_RATE_WAIT: Duration = Duration::from_millis(1_500);

/// Statements that wait for a token, in order of arrival.
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

    /// Number of statements that are still waiting; drops those that have given up.
    pub(crate) fn len(&mut self) -> usize {
        self.waiting.retain(|w| !w.is_closed());
        self.waiting.len()
    }

    /// Admits waiting statements while `take_token` returns true.
    pub(crate) fn admit_waiting(&mut self, mut take_token: impl FnMut() -> bool) {
        while let Some(front) = self.waiting.front() {
            if front.is_closed() {
                self.waiting.pop_front();
                continue;
            }
            if !take_token() {
                return;
            }
            // If the statement has given up meanwhile, its token goes to the next one.
            while let Some(waiter) = self.waiting.pop_front() {
                if waiter.send(()).is_ok() {
                    break;
                }
            }
        }
    }
}
