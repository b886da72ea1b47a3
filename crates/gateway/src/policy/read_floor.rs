//! Minimum log position that a read must see.

use std::time::Duration;

use magnoliahatch_core::position::LogPosition;

/// The latest observation of a primary's log position. The position covers every commit
/// acknowledged before the primary was asked for it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadFloor {
    /// When the request was sent, and the position in the answer.
    observed: Option<(Duration, LogPosition)>,
}

impl ReadFloor {
    /// Records the position in the primary's answer to a request that was sent at `at`.
    pub fn record(&mut self, at: Duration, position: LogPosition) {
        match &mut self.observed {
            Some((time, known)) => {
                // A lower position, such as one of an earlier term, covers less than the known one.
                if position < *known {
                    return;
                }
                *time = (*time).max(at);
                *known = position;
            }
            None => self.observed = Some((at, position)),
        }
    }

    /// Returns a position that covers every commit acknowledged longer than `age` ago, if known.
    pub fn covering(&self, age: Duration, now: Duration) -> Option<LogPosition> {
        let (at, position) = self.observed?;
        (at + age >= now).then_some(position)
    }

    /// Returns the age and the position of the latest observation.
    pub fn latest(&self, now: Duration) -> Option<(Duration, LogPosition)> {
        self.observed
            .map(|(at, position)| (now.saturating_sub(at), position))
    }
}
