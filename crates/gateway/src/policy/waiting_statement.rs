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
    /// When it is next checked whether it moves up one class.
    pub ages_at: Duration,
    /// Wait that was expected on arrival.
    pub expected: Duration,
}

impl WaitingStatement {
    /// When the statement moves up one class if its organisation had its last turn at `last_turn`.
    pub fn ages_at(&self, last_turn: Duration) -> Duration {
        let limit = self.request.deadline.saturating_sub(self.arrived);
        self.arrived.max(last_turn) + limit / 2
    }
}
