//! Counts by window, as an aggregator adds them up.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::OrganisationId;

use crate::model::usage_batch::BatchNumber;
use crate::model::usage_message::UsageMessage;
use crate::model::usage_report::UsageReport;
use crate::model::usage_report::WindowIndex;
use crate::policy::sender_clock::SenderClock;
use crate::policy::usage_counts;

/// Number of windows whose counts are kept.
const MAX_WINDOWS: u64 = 64;
/// Time after the end of a window at which it is reported. A statement counts once it is answered,
/// and a batch is sent every 250 ms and again if its call failed.
const CLOSE_DELAY: Duration = Duration::from_secs(3);
/// A sender whose last message is older than this is forgotten. It must be longer than batches are
/// sent again.
const SENDER_LIFETIME: Duration = Duration::from_secs(60);
/// Part of the senders' retention that a new aggregator may miss, since senders learn of it late or
/// do not reach it at once.
const LEARNING_TIME: Duration = Duration::from_secs(5);

/// Numbers of batches that are kept of each sender. It has at most 121 that it may send again.
const MAX_NUMBERS: usize = 256;

#[derive(Debug, Default)]
struct Sender {
    clock: SenderClock,
    received: BTreeSet<BatchNumber>,
    last_message: Duration,
}

/// The counts of the last windows, from all hosts that sent any to this one.
#[derive(Debug)]
pub struct UsageWindows {
    window: Duration,
    /// When this host began to receive counts, on its monotonic clock.
    since: Duration,
    /// Start of the oldest process that is known, on this host's monotonic clock.
    oldest_start: Duration,
    senders: BTreeMap<(HostId, Incarnation), Sender>,
    windows: BTreeMap<WindowIndex, BTreeMap<OrganisationId, u64>>,
    /// The last window that was given out for a report. Its counts do not change any more.
    fixed: Option<WindowIndex>,
}

/// A report, and how many windows before it were left out.
#[derive(Debug, PartialEq)]
pub struct NextReport {
    pub report: UsageReport,
    pub omitted: u64,
}

impl UsageWindows {
    /// Starts to count windows of this length at a time of the host's monotonic clock. `started` is
    /// when its process started.
    pub fn new(window: Duration, started: Duration, now: Duration) -> Self {
        Self {
            window,
            since: now,
            oldest_start: started,
            senders: BTreeMap::new(),
            windows: BTreeMap::new(),
            fixed: None,
        }
    }

    /// Records that a message was received at a time of the monotonic clock. Returns when it was
    /// sent, by the same clock.
    pub fn on_sent(&mut self, host: &str, message: &UsageMessage, received: Duration) -> Duration {
        self.senders
            .retain(|_, s| received.saturating_sub(s.last_message) <= SENDER_LIFETIME);
        let key = (host.to_owned(), message.incarnation);
        let sender = self.senders.entry(key).or_default();
        sender.last_message = received;
        sender.clock.on_message(message.sent, received);
        let started = sender.clock.convert(message.started);
        let sent = sender.clock.convert(message.sent);
        self.on_process(started);
        sent
    }

    /// Adds the counts of a message that `on_sent` has recorded. `lead` is the lead of true time
    /// over the monotonic clock. Returns the number of statements in windows that were given out
    /// for a report before.
    pub fn receive(&mut self, host: &str, message: &UsageMessage, lead: Duration) -> u64 {
        let key = (host.to_owned(), message.incarnation);
        let Some(sender) = self.senders.get_mut(&key) else {
            return 0;
        };
        let mut late = 0;
        for batch in &message.batches {
            if !sender.received.insert(batch.number) {
                continue;
            }
            for (organisation, buckets) in &batch.counts {
                for (offset, count) in buckets {
                    let time = usage_counts::bucket_time(batch, *offset);
                    let window = index(sender.clock.convert(time) + lead, self.window);
                    if self.fixed.is_some_and(|fixed| window <= fixed) {
                        late += u64::from(*count);
                        continue;
                    }
                    let counts = self.windows.entry(window).or_default();
                    *counts.entry(organisation.clone()).or_default() += u64::from(*count);
                }
            }
        }
        while sender.received.len() > MAX_NUMBERS {
            sender.received.pop_first();
        }
        while self.windows.len() as u64 > MAX_WINDOWS {
            self.windows.pop_first();
        }
        late
    }

    /// Records that another process started at a time of this host's monotonic clock.
    pub fn on_process(&mut self, started: Duration) {
        self.oldest_start = self.oldest_start.min(started);
    }

    /// Returns the report of the first closed window after `last`, at a time of the monotonic clock.
    /// From then on its counts do not change. Windows of which counts are missing are left out.
    pub fn next_report(
        &mut self,
        last: Option<WindowIndex>,
        now: Duration,
        lead: Duration,
    ) -> Option<NextReport> {
        let true_now = now + lead;
        let closed = index(true_now.checked_sub(CLOSE_DELAY)?, self.window).checked_sub(1)?;
        let known_since = self.since + LEARNING_TIME;
        let known_since = known_since.saturating_sub(usage_counts::RETENTION);
        // Nothing was counted before the first process of the system started.
        let started = index(self.oldest_start + lead, self.window);
        let complete_from = started.max(index(known_since + lead, self.window) + 1);
        let oldest = complete_from.max(closed.saturating_sub(MAX_WINDOWS - 1));
        let after = last.map(|last| last + 1);
        let window = after.map_or(oldest, |after| after.max(oldest));
        if window > closed {
            return None;
        }
        self.fixed = self.fixed.max(Some(window));
        let counts = self.windows.get(&window).cloned().unwrap_or_default();
        Some(NextReport {
            report: UsageReport { window, counts },
            omitted: after.map_or(0, |after| window - after),
        })
    }

    /// Time from the end of a window until now.
    pub fn lateness(&self, window: WindowIndex, now: Duration, lead: Duration) -> Duration {
        let end = self
            .window
            .saturating_mul(u32::try_from(window + 1).unwrap_or(u32::MAX));
        (now + lead).saturating_sub(end)
    }
}

/// Index of the window that holds a true time.
fn index(time: Duration, window: Duration) -> WindowIndex {
    let windows = time.as_millis() / window.as_millis().max(1);
    u64::try_from(windows).unwrap_or(u64::MAX)
}
