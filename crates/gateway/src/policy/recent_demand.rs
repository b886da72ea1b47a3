//! Counts the operations of an organisation by priority over the last seconds.

use std::collections::BTreeMap;
use std::time::Duration;

/// Length of one interval of the window.
const INTERVAL: Duration = Duration::from_millis(250);
/// Intervals in the window of 2 s. A longer window holds tokens back after urgent demand has ended.
const INTERVALS: u64 = 8;
/// Intervals in the last second.
const SECOND: u64 = 4;

/// Operations that arrived in the last two seconds, whether granted or refused.
#[derive(Debug, Default)]
pub struct RecentDemand {
    /// Operations of each priority in a ring of intervals.
    counts: BTreeMap<u32, [u32; INTERVALS as usize]>,
    /// Number of the newest interval.
    newest: u64,
}

impl RecentDemand {
    pub fn record(&mut self, priority: u32, arrived: u32, now: Duration) {
        self.advance(now);
        if arrived > 0 {
            let counts = self.counts.entry(priority).or_default();
            let count = &mut counts[(self.newest % INTERVALS) as usize];
            *count = count.saturating_add(arrived);
        }
    }

    /// Clears the intervals that have left the window.
    fn advance(&mut self, now: Duration) {
        let current = (now.as_millis() / INTERVAL.as_millis()) as u64;
        let passed = current.saturating_sub(self.newest).min(INTERVALS);
        if passed == 0 {
            return;
        }
        for counts in self.counts.values_mut() {
            for interval in current + 1 - passed..=current {
                counts[(interval % INTERVALS) as usize] = 0;
            }
        }
        self.counts
            .retain(|_, counts| counts.iter().any(|c| *c > 0));
        self.newest = current;
    }

    /// Operations per second with a higher priority than this one. A rise counts within a second, a
    /// fall within two.
    pub fn above(&mut self, priority: u32, now: Duration) -> f64 {
        self.advance(now);
        let higher = || self.counts.range(..priority).map(|(_, counts)| counts);
        let newest = self.newest;
        let last_second = |counts: &[u32; INTERVALS as usize]| -> f64 {
            let intervals = newest.saturating_sub(SECOND - 1)..=newest;
            let counted = intervals.map(|i| counts[(i % INTERVALS) as usize]);
            counted.map(f64::from).sum()
        };
        let latest: f64 = higher().map(last_second).sum();
        latest.max(higher().map(total).sum::<f64>() / window().as_secs_f64())
    }

    /// The lowest priority of the operations in the window.
    pub fn lowest(&mut self, now: Duration) -> Option<u32> {
        self.advance(now);
        self.counts.keys().next_back().copied()
    }

    /// Whether more operations arrived in the window than a rate yields in its time.
    pub fn exceeds(&mut self, per_second: f64, now: Duration) -> bool {
        self.advance(now);
        let all: f64 = self.counts.values().map(total).sum();
        all > per_second * window().as_secs_f64()
    }
}

fn window() -> Duration {
    INTERVAL * INTERVALS as u32
}

fn total(counts: &[u32; INTERVALS as usize]) -> f64 {
    counts.iter().copied().map(f64::from).sum()
}
