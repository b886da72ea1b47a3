//! Tells for how long a member has not answered although statements were sent to it.

use std::time::Duration;

/// A member that did not answer for this long has recovered, rather than answered late, when it
/// answers again. Statements are given up before; source: the design page, part D.
pub const OUTAGE: Duration = Duration::from_secs(2);

/// Failures and unanswered statements since a member's last answer.
#[derive(Debug, Clone, Default)]
pub struct Outage {
    /// First failure, or sending of the first statement, since the last answer.
    since: Option<Duration>,
    /// Last time at which the silence was observed.
    until: Duration,
    sent: u32,
    failures: u32,
}

impl Outage {
    /// Records a statement; `in_flight` are the unanswered ones without it.
    pub fn on_sent(&mut self, in_flight: u32, now: Duration) {
        self.begin(in_flight, now);
        self.sent += 1;
    }

    /// Records that the member did not answer a statement, a command or a connection attempt.
    pub fn on_failure(&mut self, in_flight: u32, now: Duration) {
        self.begin(in_flight, now);
        self.until = now;
        self.failures += 1;
    }

    /// Records the answer to a statement that took `took`; `in_flight` are the statements that remain
    /// unanswered. Returns whether it ended an outage.
    pub fn on_answer(&mut self, took: Duration, in_flight: u32, now: Duration) -> bool {
        let several = self.failures > 0 || self.sent > 1;
        let ended = self.since.is_some_and(|since| {
            let observed = self.until.saturating_sub(since) + took;
            several && observed.min(now.saturating_sub(since)) >= OUTAGE
        });
        *self = Self {
            since: (in_flight > 0).then_some(now),
            until: now,
            sent: in_flight,
            failures: 0,
        };
        ended
    }

    /// Records another answer, such as an accepted connection. Returns whether it ended an outage. It
    /// does not end a shorter silence, since a member that hangs may still accept connections.
    pub fn on_reached(&mut self) -> bool {
        let silence = self.since.map(|since| self.until.saturating_sub(since));
        let ended = self.failures > 0 && silence.is_some_and(|s| s >= OUTAGE);
        if ended {
            *self = Self::default();
        }
        ended
    }

    /// Starts a new silence if there is none, or if nothing was sent for so long that the last
    /// failure says nothing about the time since.
    fn begin(&mut self, in_flight: u32, now: Duration) {
        let stale = in_flight == 0 && now.saturating_sub(self.until) > OUTAGE;
        if self.since.is_none() || stale {
            *self = Self {
                since: Some(now),
                until: now,
                sent: 0,
                failures: 0,
            };
        }
    }
}
