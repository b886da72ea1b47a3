//! Decides which host sends usage reports, and what it writes and sends.
//!
//! A report is written to the record of the duty before it is sent, by a write that succeeds only
//! if nobody else has written. The revision of that write is the token of the calls that follow. A
//! successor repeats the report that its predecessor may have sent.
//!
//! After the store has come back from an older copy, nobody acts by the record that came back, or
//! creates one that is missing, until the calls of a holder that has not heard of it are over. The
//! holder of the newest record that a host knows goes on from that record.

use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;

use crate::model::duty_record::DutyRecord;
use crate::model::store_revision;
use crate::model::store_revision::Era;
use crate::model::usage_report::UsageReport;
use crate::model::usage_report::WindowIndex;
use crate::policy::usage_settings::UsageSettings;

/// Interval at which a host that may become the holder reads the record.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// A holder sends a call only within this time after its last write was sent.
const WRITE_LIFETIME: Duration = Duration::from_secs(1);
/// Time limit of a call. Until then one without an answer may still be executed.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// The first aggregator creates a missing record after this time. At a start of the whole system the
/// list of hosts is complete by then, so that one of the large ones holds the duty.
const CREATE_DELAY: Duration = Duration::from_secs(2);
/// Pause after the first failure of a call or a write. It doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// What a host knows besides the record.
#[derive(Debug)]
pub struct DutySituation {
    /// Place of this host among the aggregators, if it is one.
    pub rank: Option<usize>,
    /// Whether the process that the record names is known to have ended.
    pub holder_ended: bool,
    /// Whether this host is shutting down.
    pub stopping: bool,
}

/// What the host does next.
#[derive(Debug, PartialEq)]
pub enum DutyStep {
    Wait,
    /// Read the record.
    Read,
    /// Write the record if its revision is `expected`; `None` if it must not exist.
    Write {
        expected: Option<Revision>,
        record: DutyRecord,
    },
    Send {
        report: UsageReport,
        token: Revision,
    },
}

/// How a write of the record ended.
#[derive(Debug)]
pub enum WriteOutcome {
    Written(Revision),
    /// The write had no effect, and the record is as it was.
    Refused,
    /// The write may have taken effect, or another host has written.
    Unclear,
}

/// How a call ended.
#[derive(Debug)]
pub enum CallOutcome {
    Accepted,
    Refused,
    /// The call may be executed later.
    Unknown,
}

/// The record as this host read or wrote it.
#[derive(Debug)]
struct Known {
    /// `None` if the record does not exist.
    stored: Option<(Revision, DutyRecord)>,
    /// When this host first saw this revision.
    since: Duration,
    /// When this host last read or wrote the record.
    read: Duration,
}

/// One host's part in the duty.
#[derive(Debug)]
pub struct UsageDuty {
    host: HostId,
    incarnation: Incarnation,
    settings: UsageSettings,
    known: Option<Known>,
    /// Newest record that this host knew in a former era of the store, until a record is written in
    /// the present one.
    former: Option<(Revision, DutyRecord)>,
    /// Highest era that this host has seen, and since when.
    era: Option<(Era, Duration)>,
    /// Set after a write without a clear answer until the record has been read.
    unclear: bool,
    /// When this host's last write was sent.
    written: Option<Duration>,
    /// The window whose report was accepted from this process.
    accepted: Option<WindowIndex>,
    /// When the last call without an answer can no longer be executed. Until then the token does not
    /// change, since that call must not follow one with a higher token.
    call_end: Duration,
    /// Time before which nothing is written or sent.
    pause_end: Duration,
    failures: u32,
}

impl UsageDuty {
    pub fn new(host: HostId, incarnation: Incarnation, settings: UsageSettings) -> Self {
        Self {
            host,
            incarnation,
            settings,
            known: None,
            former: None,
            era: None,
            unclear: false,
            written: None,
            accepted: None,
            call_end: Duration::ZERO,
            pause_end: Duration::ZERO,
            failures: 0,
        }
    }

    /// The newest record that this host knows. It may be of a former era of the store.
    pub fn record(&self) -> Option<&(Revision, DutyRecord)> {
        let stored = self.known.as_ref().and_then(|k| k.stored.as_ref());
        self.former.as_ref().or(stored)
    }

    /// Whether the record names this process, as far as this host knows.
    pub fn is_holder(&self) -> bool {
        let stored = self.known.as_ref().and_then(|k| k.stored.as_ref());
        stored
            .is_some_and(|(revision, r)| self.is_own(r) && !r.released && !r.is_restored(*revision))
    }

    fn is_own(&self, record: &DutyRecord) -> bool {
        record.holder == self.host && record.incarnation == self.incarnation
    }

    /// Notes the era of an answer of the store. In a later one the record has to be read again.
    pub fn on_era(&mut self, era: Era, now: Duration) {
        if self.era.is_some_and(|(known, _)| era <= known) {
            return;
        }
        let rose = self.era.is_some();
        self.era = Some((era, now));
        let stored = self.known.take().and_then(|known| known.stored);
        let held = stored.filter(|(revision, record)| !record.is_restored(*revision));
        if rose && held.is_some() {
            self.former = held;
        }
        self.written = None;
    }

    /// Returns the next step. `next_report` returns the report of the first window after the given
    /// one, if that window is closed.
    pub fn next(
        &self,
        now: Duration,
        situation: &DutySituation,
        next_report: impl FnOnce(Option<WindowIndex>) -> Option<UsageReport>,
    ) -> DutyStep {
        if now < self.pause_end {
            return DutyStep::Wait;
        }
        let Some(known) = &self.known else {
            return self.read_if(situation.rank.is_some() && !situation.stopping);
        };
        if self.unclear {
            return DutyStep::Read;
        }
        match &known.stored {
            Some((revision, record)) if self.is_holder() => {
                self.next_as_holder(now, situation, *revision, record, next_report)
            }
            _ if situation.rank.is_none() || situation.stopping => DutyStep::Wait,
            _ if now.saturating_sub(known.read) >= READ_INTERVAL => DutyStep::Read,
            stored => self.take_over(now, situation, known.since, stored.as_ref()),
        }
    }

    fn read_if(&self, condition: bool) -> DutyStep {
        if condition {
            DutyStep::Read
        } else {
            DutyStep::Wait
        }
    }

    fn next_as_holder(
        &self,
        now: Duration,
        situation: &DutySituation,
        revision: Revision,
        record: &DutyRecord,
        next_report: impl FnOnce(Option<WindowIndex>) -> Option<UsageReport>,
    ) -> DutyStep {
        let write = |record| {
            if now < self.call_end {
                return DutyStep::Wait;
            }
            DutyStep::Write {
                expected: Some(revision),
                record,
            }
        };
        let unsent = record.sending.as_ref();
        let unsent = unsent.filter(|report| self.accepted != Some(report.window));
        if situation.stopping {
            return write(DutyRecord {
                released: true,
                reported: unsent.map_or(record.last_window(), |_| record.reported),
                sending: unsent.cloned(),
                ..record.clone()
            });
        }
        let Some(report) = unsent else {
            let last = record.last_window();
            return next_report(last).map_or(DutyStep::Wait, |report| {
                write(DutyRecord {
                    reported: last,
                    sending: Some(report),
                    ..record.clone()
                })
            });
        };
        let recent = |written| now.saturating_sub(written) < WRITE_LIFETIME;
        if self.written.is_some_and(recent) {
            DutyStep::Send {
                report: report.clone(),
                token: revision,
            }
        } else {
            write(record.clone())
        }
    }

    /// Another host's record must have been unchanged for so long that its last call is over.
    fn take_over(
        &self,
        now: Duration,
        situation: &DutySituation,
        since: Duration,
        stored: Option<&(Revision, DutyRecord)>,
    ) -> DutyStep {
        let base = self.record();
        let is_lost = match stored {
            Some((revision, record)) => record.is_restored(*revision),
            None => self.former.is_some(),
        };
        // A former holder may not have seen the present era yet.
        let since = match self.era {
            Some((_, seen)) if is_lost => seen,
            _ => since,
        };
        let unchanged = now.saturating_sub(since);
        let ended = match base {
            Some((_, record)) => {
                situation.holder_ended || record.released || (is_lost && self.is_own(record))
            }
            // The first aggregator creates the record.
            None => situation.rank == Some(0),
        };
        // The holder's last call begins within `WRITE_LIFETIME` after its last write.
        let mut required = self.settings.lease.max(CALL_TIMEOUT) + WRITE_LIFETIME;
        if !ended {
            required += self.settings.window;
        } else if base.is_none() {
            required = CREATE_DELAY;
        }
        if unchanged < required {
            return DutyStep::Wait;
        }
        let former = base.map(|(_, record)| record);
        DutyStep::Write {
            expected: stored.map(|(revision, _)| *revision),
            record: DutyRecord {
                holder: self.host.clone(),
                incarnation: self.incarnation,
                released: false,
                reported: former.and_then(|r| r.reported),
                sending: former.and_then(|r| r.sending.clone()),
                era: self.era.map_or(0, |(era, _)| era),
            },
        }
    }

    /// Records the result of a read; `None` if the record does not exist.
    pub fn on_read(&mut self, stored: Option<(Revision, DutyRecord)>, now: Duration) {
        if let Some((revision, record)) = &stored {
            self.on_era(store_revision::era(*revision), now);
            if !record.is_restored(*revision) {
                self.former = None;
            }
        }
        let revision = |s: &Option<(Revision, DutyRecord)>| s.as_ref().map(|(r, _)| *r);
        let since = match &self.known {
            Some(known) if revision(&known.stored) == revision(&stored) => known.since,
            _ => now,
        };
        self.known = Some(Known {
            stored,
            since,
            read: now,
        });
        self.unclear = false;
    }

    /// Records that the record could not be read.
    pub fn on_read_failed(&mut self, now: Duration) {
        self.pause(now);
    }

    /// Records the outcome of a write that was sent at `sent`.
    pub fn on_write(
        &mut self,
        record: DutyRecord,
        outcome: WriteOutcome,
        sent: Duration,
        now: Duration,
    ) {
        match outcome {
            WriteOutcome::Written(revision) => {
                self.former = None;
                self.known = Some(Known {
                    stored: Some((revision, record)),
                    since: now,
                    read: now,
                });
                self.written = Some(sent);
            }
            WriteOutcome::Refused => self.pause(now),
            WriteOutcome::Unclear => {
                // Also if the record turns out to be this host's, it is not known since when. So it
                // is written again before the next call.
                self.written = None;
                self.unclear = true;
            }
        }
    }

    /// Records the outcome of a call that was sent at `sent`.
    pub fn on_call(
        &mut self,
        window: WindowIndex,
        outcome: CallOutcome,
        sent: Duration,
        now: Duration,
    ) {
        match outcome {
            CallOutcome::Accepted => {
                self.accepted = Some(window);
                self.failures = 0;
                self.pause_end = now + self.settings.call_interval;
            }
            CallOutcome::Refused => self.pause(now),
            CallOutcome::Unknown => {
                self.call_end = sent + CALL_TIMEOUT;
                self.pause(now);
            }
        }
    }

    fn pause(&mut self, now: Duration) {
        let pause = MIN_PAUSE.saturating_mul(1 << self.failures.min(8));
        let pause = pause.min(MAX_PAUSE).max(self.settings.call_interval);
        self.failures += 1;
        self.pause_end = now + pause;
    }
}
