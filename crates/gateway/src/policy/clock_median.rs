//! True time, as the median over the wall clocks of several hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;

/// A wall clock that was read longer ago is not used. Clocks are read every 2 s.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Wall clocks of hosts, each compared to this host's monotonic clock. A minority of wrong clocks
/// does not move the median out of the range of the right ones.
#[derive(Debug, Default)]
pub struct ClockMedian {
    /// By host: its wall clock's lead over this host's monotonic clock, and when it was observed.
    clocks: BTreeMap<HostId, (Duration, Duration)>,
}

impl ClockMedian {
    /// Records that a host's wall clock, which counts from the Unix epoch, read `wall` at the time
    /// `at` of this host's monotonic clock.
    pub fn on_clock(&mut self, host: &str, wall: Duration, at: Duration) {
        let lead = wall.saturating_sub(at);
        match self.clocks.get_mut(host) {
            Some(entry) => *entry = (lead, at),
            None => {
                self.clocks.insert(host.to_owned(), (lead, at));
            }
        }
    }

    /// Number of clocks that were read recently.
    pub fn count(&mut self, now: Duration) -> usize {
        self.clocks
            .retain(|_, (_, at)| now.saturating_sub(*at) <= MAX_AGE);
        self.clocks.len()
    }

    /// Lead of true time over this host's monotonic clock; `None` if no clock was read recently. Of
    /// an even number of clocks, the lower of the two in the middle counts.
    pub fn lead(&mut self, now: Duration) -> Option<Duration> {
        let count = self.count(now);
        let mut leads: Vec<Duration> = self.clocks.values().map(|(lead, _)| *lead).collect();
        leads.sort_unstable();
        leads.get(count.checked_sub(1)? / 2).copied()
    }
}
