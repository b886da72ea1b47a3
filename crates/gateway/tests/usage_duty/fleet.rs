//! Hosts that share the duty, with lost answers, delays, pauses and ends of processes.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::Revision;
use magnoliahatch_gateway::model::duty_record::DutyRecord;
use magnoliahatch_gateway::model::usage_report::UsageReport;
use magnoliahatch_gateway::model::usage_report::WindowIndex;
use magnoliahatch_gateway::policy::usage_duty::CALL_TIMEOUT;
use magnoliahatch_gateway::policy::usage_duty::CallOutcome;
use magnoliahatch_gateway::policy::usage_duty::DutySituation;
use magnoliahatch_gateway::policy::usage_duty::DutyStep;
use magnoliahatch_gateway::policy::usage_duty::UsageDuty;
use magnoliahatch_gateway::policy::usage_duty::WriteOutcome;
use magnoliahatch_gateway::policy::usage_settings::UsageSettings;

use crate::platform::ExecutedCall;
use crate::platform::Platform;

pub(crate) const SETTINGS: UsageSettings = UsageSettings {
    window: Duration::from_secs(5),
    due: Duration::from_secs(10),
    tolerance: 0.05,
    lease: Duration::from_secs(2),
    call_interval: Duration::from_millis(200),
};
/// Windows are reported from this one on.
const FIRST_WINDOW: WindowIndex = 1;

/// What becomes of a write or a call. A call is executed within its time limit or never.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    Done,
    /// It takes effect, and the answer is lost.
    AnswerLost,
    /// It takes effect after the sender's time limit, if it still can.
    Delayed,
    Lost,
}

#[derive(Debug)]
struct Host {
    name: String,
    incarnation: u64,
    duty: UsageDuty,
    /// Difference of its monotonic clock.
    clock: Duration,
    /// Until when the host does nothing: it is paused, or waits for an answer.
    busy_until: Duration,
    /// What the host does with the answer that it waits for.
    answer: Option<Answer>,
    stopping: bool,
    /// Count in each report that this process has made.
    reports: BTreeMap<WindowIndex, u64>,
}

#[derive(Debug)]
enum Answer {
    Write(DutyRecord, WriteOutcome, Duration),
    Call(WindowIndex, CallOutcome, Duration),
}

#[derive(Debug)]
enum Delayed {
    Write(Option<Revision>, DutyRecord),
    Call(ExecutedCall),
}

#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) platform: Platform,
    hosts: Vec<Host>,
    delayed: Vec<(Duration, Delayed)>,
    next_incarnation: u64,
    /// Hosts whose registration is removed although their processes run.
    pub(crate) unregistered: Vec<bool>,
}

impl Fleet {
    pub(crate) fn new(hosts: usize) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(100),
            platform: Platform::default(),
            hosts: Vec::new(),
            delayed: Vec::new(),
            next_incarnation: 1,
            unregistered: vec![false; hosts],
        };
        for index in 0..hosts {
            let host = fleet.process(index);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn process(&mut self, index: usize) -> Host {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let name = format!("host-{index}");
        Host {
            duty: UsageDuty::new(name.clone(), incarnation, SETTINGS),
            name,
            incarnation,
            clock: Duration::from_secs(incarnation * 977),
            busy_until: self.now,
            answer: None,
            stopping: false,
            reports: BTreeMap::new(),
        }
    }

    /// Ends a host's process and starts another one.
    pub(crate) fn restart(&mut self, index: usize) {
        self.hosts[index] = self.process(index);
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.hosts[index].stopping = true;
    }

    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        let host = &mut self.hosts[index];
        host.busy_until = host.busy_until.max(self.now) + time;
    }

    pub(crate) fn holders(&self) -> usize {
        self.hosts.iter().filter(|h| h.duty.is_holder()).count()
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let due = self.delayed.iter().enumerate().map(|(i, (at, _))| (*at, i));
            match due.min() {
                Some((at, index)) if at <= end => {
                    let (at, effect) = self.delayed.remove(index);
                    self.now = at;
                    match effect {
                        Delayed::Write(expected, record) => {
                            self.platform.write(expected, record);
                        }
                        Delayed::Call(mut call) => {
                            call.at = at;
                            self.platform.calls.push(call);
                        }
                    }
                }
                _ => break,
            }
        }
        self.now = end;
    }

    /// Lets a host take its next step. `took` is the time until it has an answer.
    pub(crate) fn step(&mut self, index: usize, delivery: Delivery, took: Duration) {
        let ended = self.holder_ended();
        let now = self.now;
        let host = &mut self.hosts[index];
        if now < host.busy_until {
            return;
        }
        let local = now + host.clock;
        match host.answer.take() {
            Some(Answer::Write(record, outcome, sent)) => {
                host.duty.on_write(record, outcome, sent, local);
            }
            Some(Answer::Call(window, outcome, sent)) => {
                host.duty.on_call(window, outcome, sent, local);
            }
            None => {}
        }
        let situation = DutySituation {
            rank: (index < 2 && !host.stopping).then_some(index),
            holder_ended: ended,
            stopping: host.stopping,
        };
        let closed = now.as_secs() / SETTINGS.window.as_secs() - 20;
        // Aggregators do not have exactly the same counts.
        let incarnation = host.incarnation;
        let reports = &mut host.reports;
        let step = host.duty.next(local, &situation, |last| {
            let window = last.map_or(FIRST_WINDOW, |last| last + 1);
            (window < closed).then(|| {
                let count = *reports.entry(window).or_insert(incarnation + window);
                let counts = [("org".to_owned(), count)].into();
                UsageReport { window, counts }
            })
        });
        let late = now + CALL_TIMEOUT;
        match step {
            DutyStep::Wait => {}
            DutyStep::Read if delivery == Delivery::Lost => host.duty.on_read_failed(local),
            DutyStep::Read => host.duty.on_read(self.platform.stored.clone(), local),
            DutyStep::Write { expected, record } => {
                let unclear = WriteOutcome::Unclear;
                let outcome = match delivery {
                    Delivery::Done | Delivery::AnswerLost => {
                        let written = self.platform.write(expected, record.clone());
                        let written = written.filter(|_| delivery == Delivery::Done);
                        written.map_or(unclear, WriteOutcome::Written)
                    }
                    Delivery::Delayed => {
                        let effect = Delayed::Write(expected, record.clone());
                        self.delayed.push((late + took * 4, effect));
                        unclear
                    }
                    Delivery::Lost => unclear,
                };
                host.busy_until = now + took;
                host.answer = Some(Answer::Write(record, outcome, local));
            }
            DutyStep::Send { report, token } => {
                let window = report.window;
                let call = ExecutedCall {
                    at: now,
                    host: host.name.clone(),
                    token,
                    report,
                };
                match delivery {
                    Delivery::Done | Delivery::AnswerLost => {
                        let at = now + took.min(CALL_TIMEOUT);
                        self.delayed.push((at, Delayed::Call(call)));
                    }
                    Delivery::Delayed => self.delayed.push((late, Delayed::Call(call))),
                    Delivery::Lost => {}
                }
                host.busy_until = now + took.min(CALL_TIMEOUT);
                let answered = delivery == Delivery::Done && took < CALL_TIMEOUT;
                let outcome = if answered {
                    CallOutcome::Accepted
                } else {
                    CallOutcome::Unknown
                };
                host.answer = Some(Answer::Call(window, outcome, local));
            }
        }
    }

    /// Whether the process that the record names is taken to have ended.
    fn holder_ended(&self) -> bool {
        let Some((_, record)) = &self.platform.stored else {
            return false;
        };
        let hosts = self.hosts.iter().zip(&self.unregistered);
        let mut registered = hosts.filter(|(_, unregistered)| !**unregistered);
        !registered.any(|(h, _)| h.name == record.holder && h.incarnation == record.incarnation)
    }
}
