//! Properties of the queue under random requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::admission::AdmissionQueue;
use magnoliahatch_gateway::policy::admission_decision::AdmissionDecision;
use magnoliahatch_gateway::policy::admission_request::Request;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

use crate::statements::millis;
use crate::statements::read;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_206;

fn fixed(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn kind(number: u8) -> StatementKind {
    match number % 3 {
        0 => StatementKind::Read,
        1 => StatementKind::Write,
        _ => StatementKind::Commit,
    }
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Each statement must be granted once, returned by `expired` once, or cancelled. No more may
    /// run than the capacity at the time of the grant, the queue must stay within 256, and a
    /// statement may be refused early only when no slot is free.
    #[test]
    fn no_statement_is_lost_or_granted_twice(
        steps in prop::collection::vec((0_u8..12, 0_u8..4, 0_u8..3, 1_u64..200), 1..1200),
    ) {
        let mut queue = AdmissionQueue::new(4);
        let mut capacity = 4_usize;
        let (mut running, mut waiting) = (Vec::new(), BTreeMap::new());
        let mut now = millis(0);
        for (step, organisation, number, amount) in steps {
            match step {
                0..=6 => {
                    let request = Request {
                        organisation: organisation.to_string(),
                        weight: f64::from(organisation) * 10.0 + 1.0,
                        priority: u32::from(number),
                        kind: kind(number.wrapping_add(organisation)),
                        deadline: now + millis(amount * 20),
                        in_transaction: amount % 7 == 0,
                    };
                    let kind = request.kind;
                    match queue.request(request, now) {
                        AdmissionDecision::Granted => {
                            assert!(running.len() < capacity && waiting.is_empty());
                            running.push(kind);
                        }
                        AdmissionDecision::Waiting(ticket) => {
                            assert!(waiting.insert(ticket, kind).is_none());
                        }
                        AdmissionDecision::Refused(_) => {
                            assert!(running.len() >= capacity || waiting.len() >= 256);
                        }
                    }
                }
                7 => now += millis(amount / 10),
                8 => {
                    capacity = usize::from(number) * 2 + 1;
                    queue.set_capacity(capacity as u32);
                }
                9 => {
                    if let Some((ticket, _)) = waiting.pop_last() {
                        queue.cancel(ticket);
                    }
                }
                _ => {
                    if let Some(kind) = running.pop() {
                        queue.release(kind, millis(amount / 10));
                    }
                }
            }
            while let Some(ticket) = queue.grant_next(now) {
                running.push(waiting.remove(&ticket).expect("a waiting statement"));
                assert!(running.len() <= capacity);
            }
            for ticket in queue.expired(now) {
                waiting.remove(&ticket).expect("a waiting statement");
            }
            assert!(waiting.len() <= 256);
            assert_eq!(queue.waiting(), waiting.len());
            assert!(running.len() >= capacity || waiting.is_empty());
        }
        // Once all statements have ended, all slots must be free again.
        for kind in running {
            queue.release_unused(kind);
        }
        for ticket in waiting.into_keys() {
            queue.cancel(ticket);
        }
        for _ in 0..capacity {
            let decision = queue.request(read("a", now + millis(60)), now);
            assert_eq!(decision, AdmissionDecision::Granted);
        }
    }

    /// While two organisations both have statements waiting, the service time granted to them,
    /// divided by their weights, must not differ by more than one of the longest statements of each.
    /// This is the bound of start-time fair queueing.
    #[test]
    fn unfairness_is_bounded(
        weights in prop::collection::vec(1_u32..20, 2..6),
        kinds in prop::collection::vec(0_u8..3, 200),
    ) {
        // The service times of the kinds in ms.
        let times = [2.0, 10.0, 40.0];
        let mut queue = AdmissionQueue::new(3);
        for (number, time) in (0_u8..3).zip(times) {
            queue.request(Request { kind: kind(number), ..read("x", millis(1)) }, millis(0));
            queue.release(kind(number), millis(time as u64));
        }
        for _ in 0..3 {
            queue.request(read("x", millis(1)), millis(0));
        }
        let mut waiting = BTreeMap::new();
        let mut kinds = kinds.iter().cycle();
        let mut send = |queue: &mut AdmissionQueue, waiting: &mut BTreeMap<_, _>, index: usize| {
            let number = *kinds.next().expect("an endless list");
            let request = Request {
                weight: f64::from(weights[index]),
                kind: kind(number),
                ..read(&index.to_string(), Duration::from_secs(3600))
            };
            match queue.request(request, millis(0)) {
                AdmissionDecision::Waiting(ticket) => waiting.insert(ticket, (index, number)),
                other => panic!("{other:?} instead of a wait"),
            };
        };
        for index in 0..weights.len() {
            for _ in 0..5 {
                send(&mut queue, &mut waiting, index);
            }
        }
        let mut granted = vec![0.0; weights.len()];
        for _ in 0..300 {
            queue.release_unused(StatementKind::Read);
            queue.release_unused(StatementKind::Write);
            queue.release_unused(StatementKind::Commit);
            while let Some(ticket) = queue.grant_next(millis(0)) {
                let (index, number) = waiting.remove(&ticket).expect("a waiting statement");
                granted[index] += times[usize::from(number)] / f64::from(weights[index]);
                for (other, share) in granted.iter().enumerate() {
                    let bound = 40.0 / f64::from(weights[index]) + 40.0 / f64::from(weights[other]);
                    let difference = (granted[index] - share).abs();
                    assert!(difference <= bound + 1e-6, "{difference} of {bound}");
                }
                send(&mut queue, &mut waiting, index);
            }
        }
    }

    /// With one organisation, one kind and equal time limits the order must be that of the queue
    /// before it knew organisations: by class, then by arrival. Statements that waited for half of
    /// their limit are left out, since they age.
    #[test]
    fn one_organisation_is_served_by_class_and_arrival(
        steps in prop::collection::vec((0_u8..3, 0_u32..3), 1..300),
    ) {
        let mut queue = AdmissionQueue::new(2);
        let (mut running, mut reference) = (0, BTreeSet::new());
        for (count, (step, priority)) in steps.into_iter().enumerate() {
            let now = millis(count as u64);
            if step < 2 {
                let request = Request {
                    priority,
                    ..read("a", now + millis(1000))
                };
                match queue.request(request, now) {
                    AdmissionDecision::Granted => running += 1,
                    AdmissionDecision::Waiting(ticket) => {
                        reference.insert((priority, ticket));
                    }
                    AdmissionDecision::Refused(_) => {}
                }
            } else if running > 0 {
                queue.release(StatementKind::Read, millis(5));
                running -= 1;
            }
            while let Some(ticket) = queue.grant_next(now) {
                let first = reference.pop_first().expect("a waiting statement");
                assert_eq!(ticket, first.1);
                running += 1;
            }
        }
    }
}
