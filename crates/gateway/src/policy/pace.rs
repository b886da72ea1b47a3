//! Concurrency window of one member: how many statements its home has in flight there.

use std::time::Duration;

use crate::model::error_code::ErrorCode;
use crate::model::statement_kind::StatementKind;
use crate::policy::answer_times::AnswerTimes;
use crate::policy::answer_times::SLOW;
use crate::policy::outage::Outage;

/// Statements sent to a member for each of its slots: while one runs, the next is already in
/// transit.
const SENT_PER_SLOT: u32 = 2;
/// Part of its slots that a member gets which restarted or recovered, at least one. One statement at
/// a time would take nine service times until the first decision, in which a primary refuses writes.
const FIRST_DIVISOR: u32 = 2;
/// Smallest window.
const MIN_WINDOW: u32 = 1;
/// Median answer time, relative to the reference of the opening, above which a larger window has made
/// a member slow. Statements that wait for others take up to 1.6 times as long at the median if
/// service times spread widely, beyond what their number explains.
const OPENING_SLOW: f64 = 3.0;
/// Answers at the first window of an opening, whose median is the reference. With 5 the reference of
/// widely spread times was often half or twice the later median.
const OPENING_ANSWERS: usize = 9;
/// Answers whose median reduces the window while it opens. In 1,000 simulated openings 9 answers
/// reduced that of a steady member 90 times, 15 did 67 times, and 21 let an overloaded one grow more.
const REDUCING_ANSWERS: usize = 15;
/// The first window has helped if it brought the median answer time below this part of what it was.
const HELPED: f64 = 0.7;
/// Answers among which refusals are counted.
const REFUSAL_ANSWERS: u32 = 8;
/// Refusals among those that shrink the window. One may be caused by another host.
const REFUSALS: u32 = 2;
/// Part of the growth that an answer earns if less than half of the window was in use: it tells
/// little about the window.
const IDLE_CREDIT: u32 = 1;
/// Growth that an answer earns otherwise; this much opens the window by one.
const CREDIT: u32 = 4;

/// How a member answered a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerClass {
    /// It ran.
    Served,
    /// It ran and failed.
    Failed,
    /// It was refused for lack of capacity.
    Refused,
    /// It did not run, for a reason other than load.
    NotRun,
}

impl AnswerClass {
    /// The class of an answer that is an error.
    pub fn of_error(code: ErrorCode) -> Self {
        match code {
            ErrorCode::Busy => Self::Refused,
            _ if code.not_run() => Self::NotRun,
            _ => Self::Failed,
        }
    }
}

/// The answer to a statement.
#[derive(Debug, Clone, Copy)]
pub struct Answered {
    pub kind: StatementKind,
    pub took: Duration,
    pub class: AnswerClass,
    /// What `Pace::on_sent` returned.
    pub in_flight: u32,
}

/// Why a window was changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WindowCause {
    /// The member restarted.
    Restarted,
    /// It answered as usual.
    Growing,
    /// The member answered again after an outage.
    Recovered,
    /// The window has opened completely.
    Opened,
    /// The answers were slow.
    Slow,
    /// The member refused statements.
    Refusals,
    /// The window of a member that was slow or refused statements is complete again.
    Restored,
}

impl WindowCause {
    /// Value of the label in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::Growing => "growing",
            Self::Recovered => "recovered",
            Self::Opened => "opened",
            Self::Slow => "slow",
            Self::Refusals => "refusals",
            Self::Restored => "restored",
        }
    }
}

/// Limits the statements in flight at a member by its answers.
#[derive(Debug, Clone)]
pub struct Pace {
    slots: u32,
    window: u32,
    in_flight: u32,
    /// Whether the member restarted or recovered and has not sustained the complete window since.
    opening: bool,
    /// When the window was last reduced. Statements sent before say nothing about it.
    reduced: Duration,
    /// Largest window that this incarnation sustained; up to it the window opens quickly.
    last_good: u32,
    credit: u32,
    /// One bit for each of the last answers, the newest lowest: whether it was a refusal.
    refusals: u32,
    /// Median answer time at the first window of this opening, relative to the baseline; at least 1.
    reference: f64,
    /// Whether it was measured since the window was last reduced.
    measured: bool,
    /// Window and median answer time before the window was reduced in this opening.
    before_cut: Option<(u32, f64)>,
    times: AnswerTimes,
    outage: Outage,
}

impl Pace {
    /// The pace of a member that is not known to have restarted: its window is complete.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            window: slots.saturating_mul(SENT_PER_SLOT),
            in_flight: 0,
            opening: false,
            reduced: Duration::ZERO,
            last_good: slots.saturating_mul(SENT_PER_SLOT),
            credit: 0,
            refusals: 0,
            reference: 1.0,
            measured: false,
            before_cut: None,
            times: AnswerTimes::default(),
            outage: Outage::default(),
        }
    }

    /// The pace of the member's next process, which starts with a small window. The baselines are
    /// kept, since the machine is mostly the same.
    pub fn on_new_incarnation(&self, slots: u32, now: Duration) -> Self {
        let mut next = Self::new(slots);
        next.times = self.times.clone();
        next.open(now);
        next
    }

    /// Number of statements that may be in flight.
    pub fn window(&self) -> u32 {
        self.window
    }

    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the member restarted or recovered and its window is not complete yet.
    pub fn is_opening(&self) -> bool {
        self.opening
    }

    /// Whether recent answers were slow by the member's own baseline.
    pub fn is_slow(&self) -> bool {
        self.times.is_slow()
    }

    /// Current time of a read, if reads were answered.
    pub fn read_time(&self) -> Option<Duration> {
        self.times.read_time()
    }

    /// Records that a statement is sent. Returns the number in flight, which the answer needs.
    pub fn on_sent(&mut self, now: Duration) -> u32 {
        self.outage.on_sent(self.in_flight, now);
        self.in_flight += 1;
        self.in_flight
    }

    /// Records that a statement ended without an answer. If the member did not answer, `on_failure`
    /// is called as well.
    pub fn on_unanswered(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that the member did not answer a statement, a command or a connection attempt.
    pub fn on_failure(&mut self, now: Duration) {
        self.outage.on_failure(self.in_flight, now);
    }

    /// Records an answer that is not one to a statement, such as an accepted connection.
    pub fn on_reached(&mut self, now: Duration) -> Option<WindowCause> {
        if self.outage.on_reached() {
            return self.recover(now);
        }
        None
    }

    /// Records the answer to a statement. `others_usual` tells whether another member of the
    /// service answers at its usual speed. Returns why the window was changed, unless it only grew.
    pub fn on_answer(
        &mut self,
        answer: Answered,
        others_usual: impl FnOnce() -> bool,
        now: Duration,
    ) -> Option<WindowCause> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.outage.on_answer(answer.took, self.in_flight, now) {
            return self.recover(now);
        }
        if now.saturating_sub(answer.took) < self.reduced || answer.class == AnswerClass::NotRun {
            return None;
        }
        if answer.class == AnswerClass::Refused {
            return self.on_refusal(now);
        }
        self.refusals <<= 1;
        let load = f64::from(answer.in_flight.max(self.slots)) / f64::from(self.slots);
        let served = answer.class == AnswerClass::Served;
        let seconds = answer.took.as_secs_f64() / load;
        self.times.record(answer.kind, seconds, served, now);
        if let Some(reduced) = self.slow_window(others_usual) {
            return self.shrink(reduced, WindowCause::Slow, now);
        }
        if self.is_usual() {
            return self.grow(answer.in_flight);
        }
        None
    }

    fn on_refusal(&mut self, now: Duration) -> Option<WindowCause> {
        self.refusals = (self.refusals << 1) | 1;
        let counted = self.refusals & ((1 << REFUSAL_ANSWERS) - 1);
        if counted.count_ones() < REFUSALS {
            return None;
        }
        self.shrink(self.window / 2, WindowCause::Refusals, now)
    }

    /// The reduced window if several answers were slow.
    fn slow_window(&mut self, others_usual: impl FnOnce() -> bool) -> Option<u32> {
        let recent = self.times.recent();
        if self.opening {
            return self.overloading_window(recent);
        }
        // Below its slots a member that is only slow would be left idle.
        let slow = self.window > self.slots && self.times.is_slow() && others_usual();
        slow.then_some(self.slots)
    }

    /// The first window if a larger one may have made an opening member slow. The answers there tell
    /// whether it did.
    fn overloading_window(&mut self, recent: usize) -> Option<u32> {
        if recent < OPENING_ANSWERS {
            return None;
        }
        let median = self.times.median_ratio(OPENING_ANSWERS);
        if !self.measured {
            // The larger of several, since one that is low by chance would end each opening.
            self.reference = self.reference.max(median);
            self.measured = true;
            self.set_good_window(median);
            return None;
        }
        let median = self.times.median_ratio(REDUCING_ANSWERS);
        if recent < REDUCING_ANSWERS || median <= OPENING_SLOW * self.reference {
            return None;
        }
        self.measured = false;
        self.before_cut = Some((self.window, median));
        Some(self.first())
    }

    /// Sets the window up to which the next opening is quick, given the answer time at the first one.
    fn set_good_window(&mut self, median: f64) {
        if let Some((window, before)) = self.before_cut.take() {
            let helped = median <= HELPED * before;
            self.last_good = if helped { window / 2 } else { window };
        }
    }

    /// Whether the last answers came at the usual speed.
    fn is_usual(&self) -> bool {
        let limit = match (self.opening, self.measured) {
            (true, false) => return false,
            (true, true) => OPENING_SLOW * self.reference,
            (false, _) => SLOW,
        };
        self.times.recent() < OPENING_ANSWERS || self.times.median_ratio(OPENING_ANSWERS) <= limit
    }

    fn grow(&mut self, in_flight: u32) -> Option<WindowCause> {
        let maximum = self.maximum();
        if self.window >= maximum {
            return self.confirm();
        }
        let in_use = in_flight * 2 >= self.window;
        self.credit += if in_use { CREDIT } else { IDLE_CREDIT };
        let quick = self.opening && self.window < self.last_good;
        let price = if quick { CREDIT } else { CREDIT * self.window };
        if self.credit < price {
            return None;
        }
        self.credit = 0;
        self.window += 1;
        self.last_good = self.last_good.max(self.window);
        let restored = self.window == maximum && !self.opening;
        restored.then_some(WindowCause::Restored)
    }

    /// Ends the opening once several answers were usual while the window was complete.
    fn confirm(&mut self) -> Option<WindowCause> {
        if !self.opening {
            return None;
        }
        self.credit += 1;
        if self.credit < OPENING_ANSWERS as u32 {
            return None;
        }
        self.opening = false;
        Some(WindowCause::Opened)
    }

    /// Sets a smaller window and forgets the answers that led to it.
    fn shrink(&mut self, window: u32, cause: WindowCause, now: Duration) -> Option<WindowCause> {
        self.times.clear_recent();
        self.refusals = 0;
        self.credit = 0;
        self.reduced = now;
        let window = window.max(MIN_WINDOW);
        if window >= self.window {
            return None;
        }
        self.last_good = window;
        self.window = window;
        Some(cause)
    }

    fn recover(&mut self, now: Duration) -> Option<WindowCause> {
        // A member that accepts connections but answers no statement recovers again and again.
        let is_first = self.opening && self.window <= self.first();
        if !is_first {
            self.last_good = self.window;
        }
        self.open(now);
        (!is_first).then_some(WindowCause::Recovered)
    }

    fn open(&mut self, now: Duration) {
        self.window = self.first();
        self.opening = true;
        self.reduced = now;
        self.credit = 0;
        self.refusals = 0;
        self.reference = 1.0;
        self.measured = false;
        self.before_cut = None;
        self.times.clear_recent();
    }

    fn first(&self) -> u32 {
        (self.slots / FIRST_DIVISOR).max(MIN_WINDOW)
    }

    fn maximum(&self) -> u32 {
        self.slots.saturating_mul(SENT_PER_SLOT)
    }
}
