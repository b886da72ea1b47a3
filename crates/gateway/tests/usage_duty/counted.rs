//! Random interleavings of counts with changes of the holder.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_gateway::model::usage_message::UsageMessage;
use magnoliahatch_gateway::model::usage_report::WindowIndex;
use magnoliahatch_gateway::policy::clock_median::ClockMedian;
use magnoliahatch_gateway::policy::usage_counts::UsageCounts;
use magnoliahatch_gateway::policy::usage_duty::CallOutcome;
use magnoliahatch_gateway::policy::usage_duty::DutySituation;
use magnoliahatch_gateway::policy::usage_duty::DutyStep;
use magnoliahatch_gateway::policy::usage_duty::UsageDuty;
use magnoliahatch_gateway::policy::usage_duty::WriteOutcome;
use magnoliahatch_gateway::policy::usage_windows::UsageWindows;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::fleet::SETTINGS;
use crate::platform::ExecutedCall;
use crate::platform::Platform;

const SEED: u64 = 20_261_208;
const HOSTS: usize = 2;
const SENDERS: usize = 2;
const START: Duration = Duration::from_secs(1000);
/// Lead of true time over the model's clock.
const LEAD: Duration = Duration::from_secs(1_000_000);
const STEP: Duration = Duration::from_millis(50);
/// Interval at which senders send.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// No statement is sent so close to the end of a window, since two hosts may put it into different
/// windows: their clocks differ by a few ms.
const EDGE: Duration = Duration::from_millis(60);
/// Longest time for which a sender reaches an aggregator badly. Batches arrive before their window is
/// closed then.
const MAX_OUTAGE: Duration = Duration::from_millis(2000);
/// Time after the last event in which all windows are reported.
const RECOVERY_TIME: Duration = Duration::from_secs(30);

fn window_of(time: Duration) -> WindowIndex {
    (time + LEAD).as_secs() / SETTINGS.window.as_secs()
}

#[derive(Debug)]
struct Aggregator {
    incarnation: u64,
    duty: UsageDuty,
    windows: UsageWindows,
    clocks: ClockMedian,
    lost_answers: u32,
}

#[derive(Debug)]
struct Sender {
    incarnation: u64,
    started: Duration,
    counts: UsageCounts,
    counted: Vec<WindowIndex>,
}

#[derive(Debug)]
struct Model {
    now: Duration,
    platform: Platform,
    hosts: Vec<Aggregator>,
    senders: Vec<Sender>,
    next_incarnation: u64,
    /// Until when each sender's messages to each aggregator are lost.
    outages: [[Duration; HOSTS]; SENDERS],
    /// Error of the first sender's wall clock.
    jump: Duration,
    /// Windows of the statements of killed senders.
    killed: Vec<WindowIndex>,
    omitted: u64,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            now: START,
            platform: Platform::default(),
            hosts: Vec::new(),
            senders: Vec::new(),
            next_incarnation: 1,
            outages: [[Duration::ZERO; HOSTS]; SENDERS],
            jump: Duration::ZERO,
            killed: Vec::new(),
            omitted: 0,
        };
        model.hosts = (0..HOSTS).map(|i| model.aggregator(i)).collect();
        model.senders = (0..SENDERS).map(|_| model.sender()).collect();
        model
    }

    fn incarnation(&mut self) -> u64 {
        self.next_incarnation += 1;
        self.next_incarnation
    }

    fn aggregator(&mut self, index: usize) -> Aggregator {
        let incarnation = self.incarnation();
        let mut windows = UsageWindows::new(SETTINGS.window, self.now, self.now);
        // Another ranked host answered with its age.
        windows.on_process(START);
        Aggregator {
            incarnation,
            duty: UsageDuty::new(format!("host-{index}"), incarnation, SETTINGS),
            windows,
            clocks: ClockMedian::default(),
            lost_answers: 0,
        }
    }

    fn sender(&mut self) -> Sender {
        Sender {
            incarnation: self.incarnation(),
            started: self.now,
            counts: UsageCounts::default(),
            counted: Vec::new(),
        }
    }

    fn count(&mut self, index: usize) {
        let into = Duration::from_millis(((self.now + LEAD).as_millis() % 5000) as u64);
        if into < EDGE || into + EDGE > SETTINGS.window {
            return;
        }
        let window = window_of(self.now);
        let sender = &mut self.senders[index];
        sender.counts.count("org", self.now);
        sender.counted.push(window);
    }

    fn lose_messages(&mut self, sender: usize, host: usize, time: Duration) {
        let until = &mut self.outages[sender][host];
        // Between two outages the batches arrive.
        if self.now > *until + SEND_INTERVAL * 2 {
            *until = self.now + time;
        }
    }

    fn restart(&mut self, index: usize) {
        self.hosts[index] = self.aggregator(index);
    }

    fn kill_sender(&mut self, index: usize) {
        let successor = self.sender();
        let killed = std::mem::replace(&mut self.senders[index], successor);
        self.killed.extend(killed.counted);
    }

    fn send(&mut self) {
        for (index, sender) in self.senders.iter_mut().enumerate() {
            assert_eq!(sender.counts.cut(self.now), 0);
            for (position, host) in self.hosts.iter_mut().enumerate() {
                let receiver = (format!("host-{position}"), host.incarnation);
                let batches = sender.counts.pending(&receiver, 200);
                if batches.is_empty() || self.now < self.outages[index][position] {
                    continue;
                }
                let numbers = batches.iter().map(|b| b.number).collect();
                let jump = if index == 0 {
                    self.jump
                } else {
                    Duration::ZERO
                };
                let message = UsageMessage {
                    incarnation: sender.incarnation,
                    started: sender.started,
                    sent: self.now,
                    wall: (self.now + LEAD).saturating_sub(jump),
                    batches,
                };
                let name = format!("sender-{index}");
                // Three right clocks; those of the two aggregators differ by 20 ms.
                let skew = Duration::from_millis(20 * position as u64);
                for clock in ["own", "other", "third"] {
                    host.clocks
                        .on_clock(clock, self.now + LEAD + skew, self.now);
                }
                let read = host.windows.on_sent(&name, &message, self.now);
                host.clocks.on_clock(&name, message.wall, read);
                let lead = host.clocks.lead(self.now).expect("clocks");
                host.windows.receive(&name, &message, lead);
                sender.counts.on_acknowledged(&receiver, &numbers);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let stored = self.platform.stored.clone();
        let running = |name: &str, incarnation: u64| {
            let mut hosts = self.hosts.iter().enumerate();
            hosts.any(|(i, h)| name == format!("host-{i}") && h.incarnation == incarnation)
        };
        let ended = stored
            .as_ref()
            .is_some_and(|(_, r)| !running(&r.holder, r.incarnation));
        let now = self.now;
        let host = &mut self.hosts[index];
        let situation = DutySituation {
            rank: Some(index),
            holder_ended: ended,
            stopping: false,
        };
        let (windows, omitted) = (&mut host.windows, &mut self.omitted);
        let step = host.duty.next(now, &situation, |last| {
            let next = windows.next_report(last, now, LEAD)?;
            *omitted += next.omitted;
            Some(next.report)
        });
        let lost = host.lost_answers > 0;
        match step {
            DutyStep::Wait => return,
            DutyStep::Read => return host.duty.on_read(stored, now),
            DutyStep::Write { expected, record } => {
                let written = self.platform.write(expected, record.clone());
                let written = written.filter(|_| !lost);
                let outcome = written.map_or(WriteOutcome::Unclear, WriteOutcome::Written);
                host.duty.on_write(record, outcome, now, now);
            }
            DutyStep::Send { report, token } => {
                let window = report.window;
                let (at, host_name) = (now, format!("host-{index}"));
                self.platform.calls.push(ExecutedCall {
                    at,
                    host: host_name,
                    token,
                    report,
                });
                let outcome = if lost {
                    CallOutcome::Unknown
                } else {
                    CallOutcome::Accepted
                };
                host.duty.on_call(window, outcome, now, now);
            }
        }
        host.lost_answers = host.lost_answers.saturating_sub(1);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            if self
                .now
                .as_millis()
                .is_multiple_of(SEND_INTERVAL.as_millis())
            {
                self.send();
            }
            for index in 0..HOSTS {
                self.step(index);
            }
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    Count(usize),
    Run(Duration),
    Outage(usize, usize, Duration),
    LoseAnswers(usize, u32),
    Jump(Duration),
    Restart(usize),
    KillSender(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let time = |most: u64| (1..=most / 50).prop_map(|steps| STEP * steps as u32);
    let outage = time(MAX_OUTAGE.as_millis() as u64);
    prop_oneof![
        12 => (0..SENDERS).prop_map(Event::Count),
        8 => time(1500).prop_map(Event::Run),
        2 => (0..SENDERS, 0..HOSTS, outage).prop_map(|(s, h, t)| Event::Outage(s, h, t)),
        2 => (0..HOSTS, 1..4u32).prop_map(|(h, n)| Event::LoseAnswers(h, n)),
        1 => time(90_000).prop_map(Event::Jump),
        1 => (0..HOSTS).prop_map(Event::Restart),
        1 => (0..SENDERS).prop_map(Event::KillSender),
    ]
}

fn by_window(windows: impl Iterator<Item = WindowIndex>) -> BTreeMap<WindowIndex, u64> {
    let mut counts = BTreeMap::new();
    for window in windows {
        *counts.entry(window).or_default() += 1;
    }
    counts
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against statements that are missing in the reports, or are reported twice or in another
    /// window, when the holder changes, hosts restart, messages and answers are lost and a wall clock
    /// jumps. Only statements of killed senders may be missing.
    #[test]
    fn reports_hold_each_statement_once(events in prop::collection::vec(event(), 1..150)) {
        let mut model = Model::new();
        for event in events {
            match event {
                Event::Count(sender) => model.count(sender),
                Event::Run(time) => model.run(time),
                Event::Outage(sender, host, time) => model.lose_messages(sender, host, time),
                Event::LoseAnswers(host, count) => model.hosts[host].lost_answers = count,
                Event::Jump(jump) => model.jump = jump,
                Event::Restart(host) => model.restart(host),
                Event::KillSender(sender) => model.kill_sender(sender),
            }
        }
        let end = window_of(model.now);
        model.run(RECOVERY_TIME);
        let checked = model.platform.check(SETTINGS.lease);
        prop_assert!(checked.is_ok(), "{checked:?}");
        prop_assert_eq!(model.omitted, 0);
        let calls = model.platform.calls.iter();
        let reports: BTreeMap<_, _> = calls.map(|c| (c.report.window, &c.report)).collect();
        let certain = by_window(model.senders.iter().flat_map(|s| s.counted.iter().copied()));
        let killed = by_window(model.killed.iter().copied());
        for window in window_of(START)..=end {
            let report = reports.get(&window);
            prop_assert!(report.is_some(), "no report of window {window}");
            let count = report.and_then(|r| r.counts.get("org").copied()).unwrap_or_default();
            let least = certain.get(&window).copied().unwrap_or_default();
            let most = least + killed.get(&window).copied().unwrap_or_default();
            prop_assert!(
                count >= least && count <= most,
                "window {window}: {count}, {least} to {most}"
            );
        }
    }
}
