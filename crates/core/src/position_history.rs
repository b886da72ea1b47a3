//! Recent log positions of a primary with their times, from which the staleness of replicas is
//! computed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::member_view::MemberView;
use crate::position::LogPosition;

/// Minimum interval between two samples, so that a burst of answers does not evict the history.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// Bounded list of the primary's positions at known times, oldest first.
#[derive(Debug)]
pub struct PositionHistory {
    samples: VecDeque<(Duration, LogPosition)>,
    capacity: usize,
}

impl PositionHistory {
    /// Creates an empty history of at most `capacity` samples.
    pub fn new(capacity: usize) -> Self {
        Self {
            samples: VecDeque::with_capacity(capacity),
            capacity,
        }
    }

    /// Records that the primary had at least this position at the time `at` or later. A sample with
    /// an earlier time or a lower position than the newest one is ignored.
    pub fn record(&mut self, at: Duration, position: LogPosition) {
        if let Some((last_at, last_position)) = self.samples.back_mut() {
            if at < *last_at || position < *last_position {
                return;
            }
            if position == *last_position {
                *last_at = at;
                return;
            }
            if at < *last_at + MIN_SAMPLE_INTERVAL {
                // The earlier time with the later position can only overestimate a replica's age.
                *last_position = position;
                return;
            }
        }
        if self.samples.len() == self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back((at, position));
    }

    /// Upper bound on the staleness of reads on a member: the time since the newest sample whose
    /// position it covers. The member must also have reported that sample's term, since a member
    /// that was partitioned could lag behind a primary that this daemon does not know of.
    pub fn staleness(&self, member: &MemberView, now: Duration) -> Option<Duration> {
        let (at, position) = self.samples.iter().rev().find(|(_, p)| member.covers(*p))?;
        (member.term == position.term).then(|| now.saturating_sub((*at).min(member.observed_at)))
    }
}
