//! The concurrency window of one member, with its log lines and metrics.

use std::cell::RefCell;
use std::rc::Rc;

use magnoliahatch_core::ids::MemberId;

use crate::clock;
use crate::metrics::Metrics;
use crate::model::member_load::MemberLoad;
use crate::policy::pace::Answered;
use crate::policy::pace::Pace;
use crate::policy::pace::WindowCause;

/// Decides how many statements this host has in flight at a member.
#[derive(Debug)]
pub struct MemberPace {
    member: MemberId,
    pace: RefCell<Pace>,
    slots: u32,
    metrics: Rc<Metrics>,
}

impl MemberPace {
    /// The pace of a member that is not known to have restarted.
    pub fn new(member: MemberId, slots: u32, metrics: Rc<Metrics>) -> Rc<Self> {
        Rc::new(Self {
            member,
            pace: RefCell::new(Pace::new(slots)),
            slots,
            metrics,
        })
    }

    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The pace of the member's next process.
    pub fn restarted(&self, slots: u32) -> Rc<Self> {
        let pace = self.pace.borrow().on_new_incarnation(slots, clock::now());
        let next = Rc::new(Self {
            member: self.member.clone(),
            pace: RefCell::new(pace),
            slots,
            metrics: self.metrics.clone(),
        });
        next.on_changed(WindowCause::Restarted);
        next
    }

    /// Exposes the window as a metric.
    pub fn record_window(&self) {
        self.metrics.record_window(&self.member, self.window());
    }

    pub fn window(&self) -> u32 {
        self.pace.borrow().window()
    }

    /// The load of the member, for which `waiting` statements wait.
    pub fn load(&self, waiting: usize) -> MemberLoad {
        let pace = self.pace.borrow();
        let narrow = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
        MemberLoad {
            running: narrow(pace.in_flight()),
            waiting: u16::try_from(waiting).unwrap_or(u16::MAX),
            window: narrow(pace.window()),
            read: pace.read_time(),
            opening: pace.is_opening(),
            slow: pace.is_slow(),
        }
    }

    /// Whether recent answers were slow by the member's own baseline.
    pub fn is_slow(&self) -> bool {
        self.pace.borrow().is_slow()
    }

    /// Records that a statement is sent. Returns the number in flight, which the answer needs.
    pub fn on_sent(&self) -> u32 {
        self.pace.borrow_mut().on_sent(clock::now())
    }

    /// Records the answer to a statement. `others_usual` tells whether another member of the
    /// service answers at its usual speed.
    pub fn on_answer(&self, answer: Answered, others_usual: impl FnOnce() -> bool) {
        let now = clock::now();
        let before = self.window();
        let cause = self.pace.borrow_mut().on_answer(answer, others_usual, now);
        match cause {
            Some(cause) => self.on_changed(cause),
            None if self.window() != before => self.on_changed(WindowCause::Growing),
            None => {}
        }
    }

    /// Records that a statement ended without an answer.
    pub fn on_unanswered(&self) {
        self.pace.borrow_mut().on_unanswered();
    }

    /// Records that the member did not answer a statement, a command or a connection attempt.
    pub fn on_failure(&self) {
        self.pace.borrow_mut().on_failure(clock::now());
    }

    /// Records an answer that is not one to a statement, such as an accepted connection.
    pub fn on_reached(&self) {
        let cause = self.pace.borrow_mut().on_reached(clock::now());
        if let Some(cause) = cause {
            self.on_changed(cause);
        }
    }

    fn on_changed(&self, cause: WindowCause) {
        let (member, window) = (&self.member, self.window());
        self.record_window();
        self.metrics.count_window_change(cause);
        match cause {
            WindowCause::Growing => {}
            WindowCause::Restarted | WindowCause::Recovered => {
                tracing::info!(
                    event = 720,
                    member,
                    window,
                    ?cause,
                    "member gets few statements at first"
                );
            }
            WindowCause::Slow | WindowCause::Refusals => {
                tracing::info!(
                    event = 721,
                    member,
                    window,
                    ?cause,
                    "member gets fewer statements at a time"
                );
            }
            WindowCause::Opened | WindowCause::Restored => {
                tracing::info!(
                    event = 722,
                    member,
                    window,
                    ?cause,
                    "member gets all its statements again"
                );
            }
        }
    }
}
