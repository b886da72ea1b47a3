//! Positions that a read must at least see.

use std::time::Duration;

use magnoliahatch_core::position::LogPosition;

/// The latest observation of a primary's log: everything acknowledged before `at` is covered by
/// `position`, because the primary answered a request that was sent at `at`.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadFloor {
    seen: Option<(Duration, LogPosition)>,
}

impl ReadFloor {
    /// Records the position of an answer to a request that was sent to the primary at `at`.
    pub fn record(&mut self, at: Duration, position: LogPosition) {
        match &mut self.seen {
            Some((time, known)) => {
                // A lower position of an earlier term covers less than what is known.
                if position < *known {
                    return;
                }
                *time = (*time).max(at);
                *known = position;
            }
            None => self.seen = Some((at, position)),
        }
    }

    /// Position that covers everything acknowledged longer than `age` ago.
    pub fn covering(&self, age: Duration, now: Duration) -> Option<LogPosition> {
        let (at, position) = self.seen?;
        (at + age >= now).then_some(position)
    }

    /// The observation and its age.
    pub fn latest(&self, now: Duration) -> Option<(Duration, LogPosition)> {
        self.seen
            .map(|(at, position)| (now.saturating_sub(at), position))
    }
}
