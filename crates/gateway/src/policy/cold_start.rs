//! Limits the statements sent to a member that is still slow after its start.

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::bucket::Bucket;

/// Part of a cold member's rate that its home uses. The rate holds over all hosts, and for a moment
/// two hosts may take themselves for the home.
const HOME_PART: f64 = 0.7;
/// Statements that may follow each other without a pause.
const BURST: f64 = 1.0;

/// Added to a wait, since its length is rounded down.
const WAIT_SLACK: Duration = Duration::from_micros(100);

/// Whether a statement may be sent to a member now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    Send,
    /// After this time.
    Wait(Duration),
    /// Not from this host while the member is cold.
    Never,
}

/// Pace of the statements from this host to one member. A warm member has no limit.
#[derive(Debug, Default)]
pub struct ColdStart {
    bucket: Option<Bucket>,
}

impl ColdStart {
    /// Sets the rate of a cold member over all hosts, and whether this host is its home; no rate
    /// for a warm member.
    pub fn set(&mut self, rate: Option<f64>, home: bool, now: Duration) {
        let Some(rate) = rate else {
            self.bucket = None;
            return;
        };
        let part = if home { rate * HOME_PART } else { 0.0 };
        let bucket = self.bucket.get_or_insert_with(|| Bucket::empty(now));
        let burst = if part > 0.0 { BURST } else { 0.0 };
        bucket.resize(Amount::new(part, burst), now);
    }

    pub fn take(&mut self, now: Duration) -> Pace {
        let Some(bucket) = &mut self.bucket else {
            return Pace::Send;
        };
        if bucket.take(now) {
            return Pace::Send;
        }
        let wait = bucket.wait().map(|left| left + WAIT_SLACK);
        wait.map_or(Pace::Never, Pace::Wait)
    }
}
