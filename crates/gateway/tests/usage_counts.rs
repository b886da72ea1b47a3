//! Tests of the counts on their way from the hosts that count to the reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_gateway::model::usage_message::UsageMessage;
use magnoliahatch_gateway::model::usage_report::WindowIndex;
use magnoliahatch_gateway::policy::clock_median::ClockMedian;
use magnoliahatch_gateway::policy::usage_counts::UsageCounts;
use magnoliahatch_gateway::policy::usage_windows::UsageWindows;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_207;
const WINDOW: Duration = Duration::from_secs(5);
/// Lead of true time over the aggregators' monotonic clock, a whole number of windows.
const LEAD: Duration = Duration::from_secs(1_000_000);
const START: Duration = Duration::from_secs(100);
const SENDERS: usize = 3;
const AGGREGATORS: usize = 2;
/// Longest delay of a message.
const MAX_DELAY: Duration = Duration::from_millis(40);
/// Statements this close to the end of a window may count in the next one, or the reverse: the
/// shortest delay of a sender's messages, and half a bucket of 25 ms.
const EDGE: Duration = Duration::from_millis(40 + 13);
const ORGANISATIONS: [&str; 2] = ["org-a", "org-b"];

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Debug)]
struct Sender {
    name: String,
    incarnation: u64,
    /// Lead of its monotonic clock over that of the aggregators.
    lead: Duration,
    /// Error of its wall clock, which may jump.
    jump: Duration,
    counts: UsageCounts,
    /// Statements that this process counted: organisation and true time.
    counted: Vec<(&'static str, Duration)>,
    /// How many of these have reached each aggregator.
    arrived: [usize; AGGREGATORS],
    /// Number of statements in the batches that were cut, by batch.
    cut: Vec<usize>,
}

impl Sender {
    fn new(index: usize, incarnation: u64) -> Self {
        Self {
            name: format!("host-{index}"),
            incarnation,
            lead: Duration::from_secs(7000 * incarnation + 3 * index as u64),
            jump: Duration::ZERO,
            counts: UsageCounts::default(),
            counted: Vec::new(),
            arrived: [0; AGGREGATORS],
            cut: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct Aggregator {
    windows: UsageWindows,
    clocks: ClockMedian,
}

impl Aggregator {
    fn new() -> Self {
        Self {
            windows: UsageWindows::new(WINDOW, START, START),
            clocks: ClockMedian::default(),
        }
    }

    fn receive(&mut self, sender: &Sender, message: &UsageMessage, now: Duration) -> u64 {
        // Two right clocks, of this host and of one that does not count.
        for host in ["own", "other"] {
            self.clocks.on_clock(host, now + LEAD, now);
        }
        let read = self.windows.on_sent(&sender.name, message, now);
        self.clocks.on_clock(&sender.name, message.wall, read);
        let lead = self.clocks.lead(now).expect("clocks");
        self.windows.receive(&sender.name, message, lead)
    }
}

#[derive(Debug)]
struct Fleet {
    now: Duration,
    senders: Vec<Sender>,
    aggregators: Vec<Aggregator>,
    /// Statements of processes that ended, by whether each aggregator has them.
    ended: Vec<(&'static str, Duration, [bool; AGGREGATORS])>,
    next_incarnation: u64,
}

impl Fleet {
    fn new() -> Self {
        Self {
            // No statement is so early that it could count in the window before the start.
            now: START + millis(1000),
            senders: (0..SENDERS).map(|i| Sender::new(i, 1)).collect(),
            aggregators: (0..AGGREGATORS).map(|_| Aggregator::new()).collect(),
            ended: Vec::new(),
            next_incarnation: 2,
        }
    }

    fn count(&mut self, sender: usize, organisation: usize) {
        let sender = &mut self.senders[sender];
        let organisation = ORGANISATIONS[organisation];
        sender.counts.count(organisation, self.now + sender.lead);
        sender.counted.push((organisation, self.now + LEAD));
    }

    /// Sends a message to each aggregator; whether it arrives, and the acknowledgement.
    fn send(&mut self, index: usize, delivered: [(bool, bool); AGGREGATORS], delay: Duration) {
        let now = self.now;
        let sender = &mut self.senders[index];
        assert_eq!(sender.counts.cut(now + sender.lead), 0);
        let in_batches: usize = sender.cut.iter().sum();
        if sender.counted.len() > in_batches {
            sender.cut.push(sender.counted.len() - in_batches);
        }
        for (aggregator, (arrives, acknowledged)) in delivered.into_iter().enumerate() {
            let sender = &mut self.senders[index];
            let key = (format!("aggregator-{aggregator}"), 1);
            let batches = sender.counts.pending(&key, 200);
            if batches.is_empty() || !arrives {
                continue;
            }
            let numbers: BTreeSet<u64> = batches.iter().map(|b| b.number).collect();
            let message = UsageMessage {
                incarnation: sender.incarnation,
                started: START + sender.lead,
                sent: now + sender.lead,
                wall: (now + LEAD).saturating_sub(sender.jump),
                batches,
            };
            let late = self.aggregators[aggregator].receive(sender, &message, now + delay);
            assert_eq!(late, 0);
            sender.arrived[aggregator] = sender.counted.len();
            if acknowledged {
                sender.counts.on_acknowledged(&key, &numbers);
            }
        }
    }

    fn kill(&mut self, index: usize) {
        let successor = Sender::new(index, self.next_incarnation);
        self.next_incarnation += 1;
        let killed = std::mem::replace(&mut self.senders[index], successor);
        for (position, (organisation, at)) in killed.counted.into_iter().enumerate() {
            let arrived = killed.arrived.map(|arrived| position < arrived);
            self.ended.push((organisation, at, arrived));
        }
    }

    /// Statements that an aggregator must have.
    fn expected(&self, aggregator: usize) -> Vec<(&'static str, Duration)> {
        let ended = self.ended.iter().filter(|s| s.2[aggregator]);
        let running = self.senders.iter().flat_map(|s| s.counted.clone());
        ended.map(|s| (s.0, s.1)).chain(running).collect()
    }
}

#[derive(Debug, Clone)]
enum Event {
    Count(usize, usize),
    Send(usize, [(bool, bool); AGGREGATORS], Duration),
    Advance(Duration),
    Kill(usize),
    Jump(Duration),
}

fn event() -> impl Strategy<Value = Event> {
    let delivery = prop::array::uniform2((prop::bool::weighted(0.8), prop::bool::weighted(0.8)));
    prop_oneof![
        10 => (0..SENDERS, 0..2usize).prop_map(|(s, o)| Event::Count(s, o)),
        4 => (0..SENDERS, delivery, 0..=MAX_DELAY.as_millis() as u64)
            .prop_map(|(s, d, t)| Event::Send(s, d, millis(t))),
        // All events together stay within the time for which batches are kept.
        8 => (1..200u64).prop_map(|t| Event::Advance(millis(t))),
        1 => (0..SENDERS).prop_map(Event::Kill),
        1 => (0..100_000u64).prop_map(|t| Event::Jump(millis(t))),
    ]
}

/// Reports of all windows until `now`, with their sums by organisation.
fn reports(
    aggregator: &mut Aggregator,
    now: Duration,
) -> BTreeMap<WindowIndex, BTreeMap<String, u64>> {
    let mut last = None;
    let mut found = BTreeMap::new();
    while let Some(next) = aggregator.windows.next_report(last, now, LEAD) {
        assert_eq!(next.omitted, 0);
        last = Some(next.report.window);
        found.insert(next.report.window, next.report.counts);
    }
    found
}

proptest! {
    #![proptest_config(Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against statements that are counted twice, not at all or in another window, when
    /// messages or their acknowledgements are lost, hosts are killed and wall clocks jump. Only what a
    /// killed host had not sent may be missing.
    #[test]
    fn each_statement_counts_once_in_its_window(events in prop::collection::vec(event(), 1..250)) {
        let mut fleet = Fleet::new();
        for event in events {
            match event {
                Event::Count(sender, organisation) => fleet.count(sender, organisation),
                Event::Send(sender, delivered, delay) => fleet.send(sender, delivered, delay),
                Event::Advance(time) => fleet.now += time,
                Event::Kill(sender) => fleet.kill(sender),
                // One clock of at least three is wrong.
                Event::Jump(jump) => fleet.senders[0].jump = jump,
            }
        }
        for sender in 0..SENDERS {
            fleet.send(sender, [(true, true); AGGREGATORS], Duration::ZERO);
        }
        for index in 0..AGGREGATORS {
            let expected = fleet.expected(index);
            let now = fleet.now + Duration::from_secs(20);
            let reports = reports(&mut fleet.aggregators[index], now);
            let sum: u64 = reports.values().flat_map(|c| c.values()).sum();
            prop_assert_eq!(sum, expected.len() as u64);
            for organisation in ORGANISATIONS {
                for (window, counts) in &reports {
                    let start = WINDOW * u32::try_from(*window).expect("a small number");
                    let times = expected.iter().filter(|s| s.0 == organisation).map(|s| s.1);
                    let within = |from: Duration, to: Duration| {
                        times.clone().filter(|t| *t >= from && *t < to).count() as u64
                    };
                    let surely = within(start + EDGE, start + WINDOW - EDGE);
                    let possibly = within(start - EDGE, start + WINDOW + EDGE);
                    let count = counts.get(organisation).copied().unwrap_or_default();
                    prop_assert!(
                        count >= surely && count <= possibly,
                        "window {window} of {organisation}: {count}, {surely} to {possibly}"
                    );
                }
            }
        }
    }
}

fn message(sender: &mut UsageCounts, now: Duration) -> UsageMessage {
    sender.cut(now);
    UsageMessage {
        incarnation: 1,
        started: START,
        sent: now,
        wall: now + LEAD,
        batches: sender.pending(&("aggregator".to_owned(), 1), 200),
    }
}

/// Guards against a report that changes after it was given out, which could be sent twice with
/// different counts.
#[test]
fn report_does_not_change_once_it_was_given_out() {
    let mut windows = UsageWindows::new(WINDOW, START, START);
    let mut sender = UsageCounts::default();
    sender.count("org", START + millis(10));
    let first = message(&mut sender, START + millis(200));
    windows.on_sent("host", &first, START + millis(200));
    assert_eq!(windows.receive("host", &first, LEAD), 0);
    let closed = START + WINDOW + Duration::from_secs(3);
    assert_eq!(windows.next_report(None, closed - millis(1), LEAD), None);
    let report = windows.next_report(None, closed, LEAD).expect("a report");
    assert_eq!(report.report.counts["org"], 1);
    sender.count("org", START + millis(20));
    let second = message(&mut sender, closed);
    windows.on_sent("host", &second, closed);
    assert_eq!(windows.receive("host", &second, LEAD), 1);
    assert_eq!(windows.next_report(None, closed, LEAD), Some(report));
}

/// Guards against windows that a new aggregator reports although it lacks their counts, and against
/// windows that it leaves out although the hosts send it their batches again.
#[test]
fn new_aggregator_reports_the_windows_whose_batches_are_kept() {
    let now = START + Duration::from_secs(600);
    let mut windows = UsageWindows::new(WINDOW, now, now);
    // Without a sign of older processes, the system has just started.
    let window = |time: Duration| (time + LEAD).as_secs() / WINDOW.as_secs();
    let later = now + Duration::from_secs(10);
    let first = windows.next_report(None, later, LEAD).expect("a report");
    assert_eq!(first.report.window, window(now));
    windows.on_process(START);
    // Batches are kept for 30 s, and 5 s are allowed until the hosts know the new aggregator.
    let oldest = window(now - Duration::from_secs(25)) + 1;
    let first = windows.next_report(None, later, LEAD).expect("a report");
    assert_eq!((first.report.window, first.omitted), (oldest, 0));
    let after = windows.next_report(Some(oldest - 4), later, LEAD);
    let after = after.expect("a report");
    assert_eq!((after.report.window, after.omitted), (oldest, 3));
}

/// Guards against counts that are kept for ever for an aggregator that is gone, and against a loss
/// that nobody learns of.
#[test]
fn batches_are_dropped_after_their_time() {
    let mut sender = UsageCounts::default();
    let (taken, other) = (("a".to_owned(), 1), ("b".to_owned(), 1));
    sender.count("org", START);
    assert_eq!(sender.cut(START), 0);
    sender.on_acknowledged(&taken, &[0].into());
    sender.count("org", START + millis(500));
    sender.count("org", START + millis(500));
    assert_eq!(sender.cut(START + millis(500)), 0);
    assert_eq!(sender.pending(&taken, 200).len(), 1);
    assert_eq!(sender.pending(&other, 200).len(), 2);
    assert_eq!(sender.pending(&other, 1).len(), 1);
    assert_eq!(sender.cut(START + Duration::from_secs(31)), 2);
    assert_eq!(sender.pending(&other, 200).len(), 0);
}
