//! Minimum log position that a read must see.

use std::collections::VecDeque;
use std::time::Duration;

use magnoliahatch_core::position::LogPosition;

/// Least time between two kept observations. A busy primary is observed hundreds of times a second.
const SPACING: Duration = Duration::from_millis(50);
/// Number of kept observations. With `SPACING` they reach back 3.2 s, further than the ages that reads
/// accept today; for a greater age a later position is required than necessary.
const CAPACITY: usize = 64;

/// Recent observations of a primary's log position, oldest first. A position covers every commit
/// acknowledged before the primary was asked for it.
#[derive(Debug, Clone, Default)]
pub struct ReadFloor {
    /// When each request was sent, and the position in its answer. Both only grow.
    observed: VecDeque<(Duration, LogPosition)>,
}

impl ReadFloor {
    /// Records the position in the primary's answer to a request that was sent at `at`.
    pub fn record(&mut self, at: Duration, position: LogPosition) {
        if let Some((time, known)) = self.observed.back().copied() {
            // A lower position, such as one of an earlier term, covers less than the known one.
            if position < known {
                return;
            }
            if position.term > known.term {
                // Members may have rolled positions of the earlier term back.
                self.observed.clear();
            } else if at <= time {
                return;
            }
        }
        let kept = self.observed.len();
        let replaces_last = kept >= 2 && at < self.observed[kept - 2].0 + SPACING;
        if replaces_last {
            self.observed.pop_back();
        }
        if self.observed.len() == CAPACITY {
            self.observed.pop_front();
        }
        self.observed.push_back((at, position));
    }

    /// Returns the lowest known position that covers every commit acknowledged longer than `age` ago.
    /// A replica that lags is more likely to have applied it than a later one.
    pub fn covering(&self, age: Duration, now: Duration) -> Option<LogPosition> {
        let recent = |(at, _): &&(Duration, LogPosition)| *at + age >= now;
        self.observed.iter().find(recent).map(|(_, p)| *p)
    }

    /// Returns the age and the position of the latest observation.
    pub fn latest(&self, now: Duration) -> Option<(Duration, LogPosition)> {
        let (at, position) = self.observed.back()?;
        Some((now.saturating_sub(*at), *position))
    }
}
