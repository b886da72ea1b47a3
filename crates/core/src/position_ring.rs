//! History of a primary's positions, by which the age of replicas is known.

use std::collections::VecDeque;
use std::time::Duration;

use crate::member_view::MemberView;
use crate::position::LogPosition;

/// Minimum distance between two samples, so that a burst of answers does not push out the history.
const SPACING: Duration = Duration::from_millis(10);

/// Positions that the primary had at known times, oldest first.
#[derive(Debug)]
pub struct PositionRing {
    samples: VecDeque<(Duration, LogPosition)>,
    capacity: usize,
}

impl PositionRing {
    /// Keeps at most `capacity` samples.
    pub fn new(capacity: usize) -> Self {
        Self {
            samples: VecDeque::with_capacity(capacity),
            capacity,
        }
    }

    /// Records that the primary had at least this position at a time `at` or later. A sample that
    /// is older than the last one, or of an older term, is ignored.
    pub fn record(&mut self, at: Duration, position: LogPosition) {
        if let Some((last, known)) = self.samples.back_mut() {
            if at < *last || position < *known {
                return;
            }
            if position == *known {
                *last = at;
                return;
            }
            if at < *last + SPACING {
                // The earlier time with the later position understates how current a replica is.
                *known = position;
                return;
            }
        }
        if self.samples.len() == self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back((at, position));
    }

    /// How old reads on a member may be: the time since the latest moment whose position it
    /// covers. The member must also have reported that it follows the ring's term, since a member
    /// that was cut off could lag behind a primary of which this daemon has not heard.
    pub fn age(&self, member: &MemberView, now: Duration) -> Option<Duration> {
        let (at, position) = self.samples.iter().rev().find(|(_, p)| member.covers(*p))?;
        (member.term == position.term).then(|| now.saturating_sub((*at).min(member.heard)))
    }
}
