//! Tests of the queue under the loads that it answers, at a simulated member.

use std::time::Duration;

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::admission::AdmissionQueue;
use magnoliahatch_gateway::policy::admission_request::Request;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::member::Arrival;
use crate::member::Fate;
use crate::member::simulate;
use crate::statements::measured;
use crate::statements::millis;
use crate::statements::read;

/// Fixed so that runs are reproducible.
const SEED: u64 = 20_261_206;
/// Statements that the member runs at once.
const SLOTS: u32 = 4;
/// Service time of a read.
const SERVICE: Duration = Duration::from_millis(10);

fn arrival(at: u64, limit: u64, organisation: &str) -> Arrival {
    Arrival {
        at: millis(at),
        request: read(organisation, millis(at + limit)),
        service: SERVICE,
    }
}

fn is_answered(fate: &Fate) -> bool {
    matches!(fate, Fate::Answered { .. })
}

fn wait(arrival: &Arrival, fate: &Fate) -> Option<Duration> {
    match fate {
        Fate::Answered { start, .. } => Some(*start - arrival.at),
        _ => None,
    }
}

/// Burst: 400 statements arrive at once where 120 can be answered in time. Guards against a member
/// that is idle because statements were refused too early, and against statements that wait until
/// their deadline although their end is far behind it.
#[test]
fn burst_is_served_as_far_as_the_member_can() {
    let arrivals: Vec<_> = (0..400).map(|_| arrival(0, 300, "a")).collect();
    let queue = measured(SLOTS, &[(StatementKind::Read, SERVICE)], millis(0));
    let fates = simulate(queue, &arrivals);
    let answered = fates.iter().filter(|f| is_answered(f)).count();
    let refused = fates.iter().filter(|f| **f == Fate::Refused).count();
    assert!(
        answered >= 114,
        "{answered} answered, 95% of 120 are asked for"
    );
    assert!(refused >= 200, "{refused} refused at once");
}

/// Hot organisation: eight organisations use 80% of a member, and one of them then sends eight times
/// its statements. Guards against other organisations that wait longer for it than one service time,
/// which is when the first of the running statements ends.
#[test]
fn hot_organisation_costs_others_one_service_time() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "hot"];
    // Each sends one statement every 25 ms: 320 a second in all, of 400 that the member can run.
    let mut usual = Vec::new();
    for round in 0..200 {
        for (index, name) in names.iter().enumerate() {
            usual.push(arrival(round * 25 + index as u64 * 3, 500, name));
        }
    }
    let mut hot = usual.clone();
    for round in 0..200 {
        hot.extend((0..7).map(|n| arrival(round * 25 + 3 * n, 500, "hot")));
    }
    hot.sort_by_key(|a| a.at);
    let waits = |arrivals: &[Arrival]| {
        let queue = measured(SLOTS, &[(StatementKind::Read, SERVICE)], millis(0));
        let fates = simulate(queue, arrivals);
        let others = arrivals.iter().zip(&fates);
        let others = others.filter(|(a, _)| a.request.organisation != "hot");
        others.map(|(a, f)| wait(a, f)).collect::<Vec<_>>()
    };
    let (without, with) = (waits(&usual), waits(&hot));
    assert_eq!(without.len(), with.len());
    for (index, (without, with)) in without.iter().zip(&with).enumerate() {
        let (without, with) = (without.expect("answered"), with.expect("answered"));
        assert!(
            with <= without + SERVICE,
            "statement {index} waited {with:?} instead of {without:?}"
        );
    }
}

/// Slow member: its service time is ten times as long for two seconds. Guards against statements
/// that wait in vain while it is slow, and against statements that are still refused when it is as
/// fast as before.
#[test]
fn slow_member_refuses_early_and_recovers() {
    // 200 a second, half of what the member can run, and five times what it can run while slow.
    let mut arrivals: Vec<_> = (0..1000).map(|n| arrival(n * 5, 300, "a")).collect();
    for arrival in &mut arrivals {
        if (millis(1000)..millis(3000)).contains(&arrival.at) {
            arrival.service = SERVICE * 10;
        }
    }
    let queue = measured(SLOTS, &[(StatementKind::Read, SERVICE)], millis(0));
    let fates = simulate(queue, &arrivals);
    let during = |from: u64, to: u64| {
        let range = millis(from)..millis(to);
        let both = arrivals.iter().zip(&fates);
        both.filter(move |(a, _)| range.contains(&a.at))
    };
    // One second suffices to measure the member again.
    let unserved: Vec<_> = during(2000, 3000)
        .filter(|(_, f)| !is_answered(f))
        .collect();
    let early = unserved.iter().filter(|(_, f)| **f == Fate::Refused);
    let (early, unserved) = (early.count(), unserved.len());
    assert!(unserved >= 100, "{unserved} of 200 were not answered");
    assert!(
        early * 10 >= unserved * 8,
        "{early} of {unserved} refused at once"
    );
    // The slow statements have ended one time limit later.
    let refused = during(3300, 5000).filter(|(_, f)| !is_answered(f)).count();
    assert_eq!(refused, 0, "refused after the member recovered");
}

/// Many commits: one organisation sends slow commits, another fast reads. Guards against sharing by
/// the number of statements: the commits would take 20 times the service time of the reads.
#[test]
fn many_commits_leave_half_of_the_member_to_reads() {
    let mut arrivals = Vec::new();
    for n in 0..2000 {
        if n % 3 == 0 {
            arrivals.push(Arrival {
                service: millis(2),
                ..arrival(n, 200, "reads")
            });
        }
        if n % 5 == 0 {
            arrivals.push(Arrival {
                request: Request {
                    kind: StatementKind::Commit,
                    ..read("commits", millis(n + 200))
                },
                service: millis(40),
                ..arrival(n, 200, "commits")
            });
        }
    }
    let times = [
        (StatementKind::Read, millis(2)),
        (StatementKind::Commit, millis(40)),
    ];
    // The reads need two thirds of one of two slots, the commits eight slots.
    let fates = simulate(measured(2, &times, millis(0)), &arrivals);
    let both: Vec<_> = arrivals.iter().zip(&fates).collect();
    let answered = |organisation: &str| {
        let own = both
            .iter()
            .filter(|(a, _)| a.request.organisation == organisation);
        own.filter(|(_, f)| is_answered(f)).count()
    };
    let (reads, commits) = (answered("reads"), answered("commits"));
    assert!(
        reads >= 600,
        "{reads} of 667 reads answered, 90% are asked for"
    );
    assert!(
        commits >= 40,
        "{commits} commits answered, 66 fit into the rest"
    );
}

/// Transactions that sit idle: 20 open transactions send a statement of 10 ms every 500 ms beside
/// twice the reads that the member can run. Guards against transactions that count while they sit
/// idle, and against their statements waiting behind those of others while they hold connections.
#[test]
fn statements_of_idle_transactions_go_first() {
    let mut arrivals: Vec<_> = (0..1600)
        .map(|n| arrival(n * 5 / 4, 400, "reads"))
        .collect();
    for round in 0..4 {
        for n in 0..20 {
            let mut arrival = arrival(round * 500 + n * 25, 400, "transactions");
            arrival.request.in_transaction = true;
            arrivals.push(arrival);
        }
    }
    arrivals.sort_by_key(|a| a.at);
    let queue = measured(SLOTS, &[(StatementKind::Read, SERVICE)], millis(0));
    let fates = simulate(queue, &arrivals);
    let mut reads = 0;
    for (arrival, fate) in arrivals.iter().zip(&fates) {
        if arrival.request.in_transaction {
            let wait = wait(arrival, fate).expect("answered");
            assert!(wait <= SERVICE, "a transaction waited {wait:?}");
        } else {
            reads += u32::from(is_answered(fate));
        }
    }
    // Of 800 statements in two seconds 80 belong to transactions.
    assert!(
        reads >= 684,
        "{reads} reads answered, 95% of 720 are asked for"
    );
}

/// Lower classes under a lasting overload by the highest one. Guards against a class that gets
/// nothing. An organisation has a turn each half of the time limit of 400 ms, ten in two seconds.
/// One that is two classes below needs another quarter of the limit before its first.
#[test]
fn lower_classes_are_served_during_an_overload() {
    let mut arrivals = Vec::new();
    for n in 0..2000 {
        arrivals.push(arrival(n, 400, "high"));
        for (organisation, priority) in [("low", 1), ("lowest", 2)] {
            if n % 20 == 0 {
                let mut low = arrival(n, 400, organisation);
                low.request.priority = priority;
                arrivals.push(low);
            }
        }
    }
    let queue = measured(SLOTS, &[(StatementKind::Read, SERVICE)], millis(0));
    let fates = simulate(queue, &arrivals);
    for (priority, least) in [(1, 10), (2, 8)] {
        let both = arrivals.iter().zip(&fates);
        let own = both.filter(|(a, _)| a.request.priority == priority);
        let answered = own.filter(|(_, f)| is_answered(f)).count();
        assert!(
            answered >= least,
            "{answered} of 100 of priority {priority} answered, {least} are asked for"
        );
    }
}

/// No overload: statements arrive at half of what the member can run. Guards against refusals and
/// against waits where each statement found a free slot before.
#[test]
fn member_with_free_slots_grants_at_once() {
    let arrivals: Vec<_> = (0..400).map(|n| arrival(n * 5, 20, "a")).collect();
    let queue = measured(SLOTS, &[(StatementKind::Read, millis(30))], millis(0));
    for (arrival, fate) in arrivals.iter().zip(simulate(queue, &arrivals)) {
        assert_eq!(wait(arrival, &fate), Some(Duration::ZERO));
    }
}

/// Lasting overload with service times that vary. Guards against estimates that refuse so much that
/// the member has nothing to do, or so little that it runs statements which end after their
/// deadline. Each row names the distribution of the service times and their quantiles in ms.
#[test]
fn overloaded_member_answers_in_time_what_it_can() {
    let rows: [(&str, [u64; 10]); 4] = [
        ("constant", [10; 10]),
        ("uniform", [1, 3, 5, 7, 9, 11, 13, 15, 17, 19]),
        ("exponential", [1, 2, 3, 4, 6, 8, 11, 14, 19, 32]),
        ("one in ten slow", [5, 5, 5, 5, 5, 5, 5, 5, 5, 55]),
    ];
    for (load, services) in rows {
        let mut random = StdRng::seed_from_u64(SEED);
        // 600 a second, where 400 can run.
        let arrivals: Vec<_> = (0..6000)
            .map(|n| Arrival {
                service: millis(services[random.random_range(0..10)]),
                ..arrival(n * 5 / 3, 300, "a")
            })
            .collect();
        let fates = simulate(AdmissionQueue::new(SLOTS), &arrivals);
        let mut in_time = 0;
        for (arrival, fate) in arrivals.iter().zip(&fates) {
            if let Fate::Answered { end, .. } = fate {
                in_time += u32::from(*end <= arrival.request.deadline);
            }
        }
        let refused = fates.iter().filter(|f| **f == Fate::Refused).count();
        let lost = fates.iter().filter(|f| matches!(f, Fate::Lost(_))).count();
        assert!(
            in_time >= 3600,
            "{load}: {in_time} in time, {refused} refused at once, {lost} while they waited; \
             90% of 4000 are asked for"
        );
    }
}
