//! A statement that waits for a slot.

use std::time::Duration;

use crate::policy::admission_request::Request;

/// A waiting statement.
#[derive(Debug)]
pub struct WaitingStatement {
    pub request: Request,
    /// Present class; an older statement may be in a higher class than its request.
    pub class: u32,
    pub arrived: Duration,
    /// When it entered its present class.
    pub entered: Duration,
    /// When it is next checked whether it moves up one class.
    pub ages_at: Duration,
    /// Wait that was expected on arrival.
    pub expected: Duration,
}

impl WaitingStatement {
    /// When the statement moves up one class if its organisation had its last turn at `last_turn`:
    /// after half of the time that it had left when it entered its class.
    pub fn ages_at(&self, last_turn: Duration) -> Duration {
        let left = self.request.deadline.saturating_sub(self.entered);
        self.entered.max(last_turn) + left / 2
    }

    /// Time from the arrival to the deadline.
    pub fn limit(&self) -> Duration {
        self.request.deadline.saturating_sub(self.arrived)
    }
}
