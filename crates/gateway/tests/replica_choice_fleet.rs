//! Simulates the reads of many hosts to one service, whose members' homes report their loads.

use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use magnoliahatch_gateway::model::member_load::MemberLoad;
use magnoliahatch_gateway::policy::replica_choice::Distance;
use magnoliahatch_gateway::policy::replica_choice::HomeReport;
use magnoliahatch_gateway::policy::replica_choice::ReadCandidate;
use magnoliahatch_gateway::policy::replica_choice::choose;

/// Seed of the random numbers, so that runs are reproducible.
const SEED: u64 = 20_261_206;
/// Slots of a member.
const SLOTS: usize = 2;
/// Microseconds between a host and a home, one way.
const TRANSIT: u64 = 1_000;
/// Age in microseconds beyond which a report is not used.
const MAX_REPORT_AGE: u64 = 1_000_000;
/// Reads of one run; the first tenth is not measured.
const READS: usize = 20_000;

/// What happens next, by time in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    AtHome { member: usize, read: usize },
    Served { member: usize, read: usize },
    Answered { member: usize, read: usize },
}

#[derive(Debug, Default)]
struct Member {
    mean: f64,
    running: usize,
    waiting: VecDeque<usize>,
    recent: VecDeque<u64>,
}

impl Member {
    fn load(&self) -> MemberLoad {
        let mut times: Vec<u64> = self.recent.iter().copied().collect();
        times.sort_unstable();
        let accepted = (self.running + self.waiting.len()) as u16;
        MemberLoad {
            running: accepted.min(4),
            waiting: accepted.saturating_sub(4),
            window: 4,
            read: times
                .get(times.len() / 2)
                .map(|t| Duration::from_micros(*t)),
            opening: false,
            slow: false,
        }
    }
}

/// What a host knows of a member.
#[derive(Debug, Clone, Copy)]
struct Known {
    latency: f64,
    pending: u32,
    report: Option<(u64, HomeReport)>,
}

struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-mean * (1.0 - self.next()).ln()) as u64 + 1
    }
}

/// Runs `per_second` reads from `hosts` hosts on members with these mean service times in
/// microseconds. Returns the mean response time in milliseconds.
fn mean_response(hosts: usize, per_second: f64, means: &[f64], with_reports: bool) -> f64 {
    let mut random = Random(SEED);
    let mut members: Vec<Member> = means
        .iter()
        .map(|mean| Member {
            mean: *mean,
            ..Member::default()
        })
        .collect();
    let unknown = Known {
        latency: 15_000.0,
        pending: 0,
        report: None,
    };
    let mut known = vec![vec![unknown; members.len()]; hosts];
    let mut events = BinaryHeap::from([(std::cmp::Reverse(0), Event::Arrival)]);
    // Host, time of sending and service time of each read, and the load that its answer carries.
    let mut reads: Vec<(usize, u64, u64, Option<MemberLoad>)> = Vec::new();
    let (mut total, mut measured) = (0.0, 0);
    while let Some((std::cmp::Reverse(now), event)) = events.pop() {
        match event {
            Event::Arrival => {
                let host = (random.next() * hosts as f64) as usize;
                let candidates: Vec<ReadCandidate> = known[host]
                    .iter()
                    .map(|k| ReadCandidate {
                        distance: Distance::SameDataCentre,
                        primary: false,
                        cold: false,
                        slots: SLOTS as u32,
                        latency: Duration::from_micros(k.latency as u64),
                        pending: k.pending,
                        report: k
                            .report
                            .filter(|(at, _)| with_reports && now - at < MAX_REPORT_AGE)
                            .map(|(_, r)| r),
                    })
                    .collect();
                let spread = (random.next() * 1e15) as u64;
                let member = choose(&candidates, spread).expect("there are members");
                let chosen = &mut known[host][member];
                chosen.pending += 1;
                if let Some((_, report)) = &mut chosen.report {
                    report.sent_since += 1;
                }
                let service = random.exponential(members[member].mean);
                reads.push((host, now, service, None));
                let read = reads.len() - 1;
                events.push((
                    std::cmp::Reverse(now + TRANSIT),
                    Event::AtHome { member, read },
                ));
                if reads.len() < READS {
                    let wait = random.exponential(1e6 / per_second);
                    events.push((std::cmp::Reverse(now + wait), Event::Arrival));
                }
            }
            Event::AtHome { member, read } => {
                if members[member].running < SLOTS {
                    members[member].running += 1;
                    events.push((
                        std::cmp::Reverse(now + reads[read].2),
                        Event::Served { member, read },
                    ));
                } else {
                    members[member].waiting.push_back(read);
                }
            }
            Event::Served { member, read } => {
                let home = &mut members[member];
                home.running -= 1;
                home.recent.push_back(reads[read].2);
                if home.recent.len() > 51 {
                    home.recent.pop_front();
                }
                if let Some(next) = home.waiting.pop_front() {
                    home.running += 1;
                    events.push((
                        std::cmp::Reverse(now + reads[next].2),
                        Event::Served { member, read: next },
                    ));
                }
                reads[read].3 = Some(home.load());
                events.push((
                    std::cmp::Reverse(now + TRANSIT),
                    Event::Answered { member, read },
                ));
            }
            Event::Answered { member, read } => {
                let (host, sent, _, load) = reads[read];
                let took = (now - sent) as f64;
                let chosen = &mut known[host][member];
                chosen.pending -= 1;
                chosen.latency += 0.15 * (took - chosen.latency);
                chosen.report = load.map(|load| {
                    (
                        now,
                        HomeReport {
                            load,
                            sent_since: 0,
                        },
                    )
                });
                if read > READS / 10 {
                    total += took / 1000.0;
                    measured += 1;
                }
            }
        }
    }
    total / f64::from(measured)
}

/// Hosts that see the same reports must not all wait at one member: reads must not take longer than
/// with each host's own figures. 5% are allowed for chance.
#[test]
fn reports_do_not_make_reads_slower() {
    for hosts in [3, 20, 100, 300] {
        for per_second in [100.0, 300.0, 420.0] {
            for means in [[10_000.0; 3], [10_000.0, 10_000.0, 20_000.0]] {
                let own = mean_response(hosts, per_second, &means, false);
                let reported = mean_response(hosts, per_second, &means, true);
                let seen = format!(
                    "{hosts} hosts, {per_second}/s, {means:?}: {own:.1} ms, with reports {reported:.1} ms"
                );
                println!("{seen}");
                assert!(reported <= own * 1.05, "{seen}");
            }
        }
    }
}
