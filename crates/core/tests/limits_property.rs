//! Random sequences of faults. Under no fault may the hosts together exceed a contract or the
//! connection limit of a member.

mod support;

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Division;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use support::simulation::Simulation;

const HOSTS: usize = 6;
const SEED: [u8; 32] = [7; 32];
const CASES: u32 = 192;

#[derive(Debug, Clone)]
enum Event {
    /// Sets a host's load to unlimited or no statements, and its wanted connections.
    Load(usize, bool, u32),
    Pause(usize),
    Resume(usize),
    Crash(usize),
    Start(usize),
    /// Crash followed by an immediate start.
    Restart(usize),
    Store(bool),
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    Contract(u32, u32, u32),
}

fn event() -> impl Strategy<Value = Event> {
    let host = || 0..HOSTS;
    prop_oneof![
        6 => (host(), prop::bool::weighted(0.4), 0u32..20)
            .prop_map(|(h, on, n)| Event::Load(h, on, if on { n } else { n / 10 })),
        3 => host().prop_map(Event::Pause),
        3 => host().prop_map(Event::Resume),
        2 => host().prop_map(Event::Crash),
        4 => host().prop_map(Event::Start),
        3 => host().prop_map(Event::Restart),
        2 => prop::bool::weighted(0.7).prop_map(Event::Store),
        2 => (host(), host()).prop_map(|(a, b)| Event::Cut(a, b)),
        1 => host().prop_map(Event::Isolate),
        2 => Just(Event::Heal),
        2 => (20u32..200, 6u32..60, 2u32..24).prop_map(|(r, b, c)| Event::Contract(r, b, c)),
    ]
}

fn apply(simulation: &mut Simulation, event: &Event) {
    match *event {
        Event::Load(host, on, connections) => {
            simulation.hosts[host].load = if on { f64::INFINITY } else { 0.0 };
            simulation.hosts[host].wanted_connections = connections;
        }
        Event::Pause(host) => simulation.hosts[host].paused = true,
        Event::Resume(host) => simulation.hosts[host].paused = false,
        Event::Crash(host) => simulation.crash(host),
        Event::Start(host) => simulation.start(host),
        Event::Restart(host) => {
            simulation.crash(host);
            simulation.start(host);
        }
        Event::Store(up) => simulation.store_up = up,
        Event::Cut(a, b) => {
            simulation.net.cut.insert((a, b));
        }
        Event::Isolate(host) => {
            let pairs = (0..HOSTS).flat_map(|h| [(h, host), (host, h)]);
            simulation.net.cut.extend(pairs);
        }
        Event::Heal => simulation.net.cut.clear(),
        Event::Contract(rate, burst, connections) => {
            let amount = Amount::new(f64::from(rate), f64::from(burst));
            simulation.change_contract((amount, connections));
        }
    }
}

fn run_events(
    seed: u64,
    fault_probabilities: (f64, f64, f64, f64),
    events: &[(u64, Event)],
) -> Result<Simulation, String> {
    let contract = (Amount::new(100.0, 30.0), 16);
    let mut simulation = Simulation::new(HOSTS, contract, Division::Loans, seed);
    for host in 0..4 {
        simulation.start(host);
        // If every host were busy, nothing would be lent.
        let busy = seed >> host & 1 == 1;
        simulation.hosts[host].load = if busy { f64::INFINITY } else { 0.0 };
        simulation.hosts[host].wanted_connections = if busy { 16 } else { 0 };
    }
    simulation.run(Duration::from_secs(8))?;
    (
        simulation.net.loss,
        simulation.net.duplication,
        simulation.net.late_probability,
        simulation.store_answer_loss,
    ) = fault_probabilities;
    for (delay, event) in events {
        apply(&mut simulation, event);
        let end = simulation.now + Duration::from_millis(*delay);
        simulation.run(end)?;
    }
    Ok(simulation)
}

/// Guards against interleavings in which two hosts use the same floor, loan or seat at once.
#[test]
fn admitted_statements_and_connections_stay_within_the_contract() {
    println!("proptest seed {SEED:?}");
    let config = ProptestConfig {
        cases: CASES,
        max_shrink_iters: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let fault_probabilities = (0.0..0.2f64, 0.0..0.2f64, 0.0..0.2f64, 0.0..0.3f64);
    let delay = prop_oneof![3 => 20u64..1_500, 1 => 1_500u64..15_000];
    let events = vec((delay, event()), 5..40);
    let mut admitted = 0;
    let mut table_changes = 0;
    let result = {
        let totals = std::cell::RefCell::new((&mut admitted, &mut table_changes));
        runner.run(
            &(any::<u64>(), fault_probabilities, events),
            |(seed, fault_probabilities, events)| {
                let simulation =
                    run_events(seed, fault_probabilities, &events).map_err(TestCaseError::fail)?;
                let mut totals = totals.borrow_mut();
                *totals.0 += simulation.admitted();
                *totals.1 += simulation.store.as_ref().map_or(0, |t| t.version);
                Ok(())
            },
        )
    };
    println!("{admitted} statements admitted, {table_changes} changes of the seat table");
    if let Err(failure) = result {
        panic!("{failure}");
    }
    // The limits also hold if nothing is admitted, so the test requires real activity.
    assert!(admitted > 100_000 && table_changes > u64::from(CASES) * 5);
}

/// Guards against a fleet that does not recover: after all faults have ended, the contract must be
/// usable again without an operator's action.
#[test]
fn the_contract_is_usable_again_after_the_faults_end() {
    println!("proptest seed {SEED:?}");
    let config = ProptestConfig {
        cases: 24,
        max_shrink_iters: 100,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let fault_probabilities = (0.0..0.2f64, 0.0..0.2f64, 0.0..0.2f64, 0.0..0.3f64);
    let events = vec((20u64..6_000, event()), 5..25);
    let result = runner.run(
        &(any::<u64>(), fault_probabilities, events),
        |(seed, fault_probabilities, events)| {
            let mut simulation =
                run_events(seed, fault_probabilities, &events).map_err(TestCaseError::fail)?;
            (
                simulation.net.loss,
                simulation.net.duplication,
                simulation.net.late_probability,
                simulation.store_answer_loss,
            ) = (0.0, 0.0, 0.0, 0.0);
            simulation.net.cut.clear();
            simulation.store_up = true;
            // With a burst of about one statement per host, the tokens that accrue during a step of
            // 20 ms would overflow the bucket and be lost.
            simulation.change_contract((Amount::new(100.0, 60.0), 16));
            for host in 0..HOSTS {
                simulation.hosts[host].paused = false;
                simulation.start(host);
                simulation.hosts[host].load = f64::INFINITY;
            }
            let end = simulation.now + Duration::from_secs(45);
            simulation.run(end).map_err(TestCaseError::fail)?;
            let before = simulation.admitted();
            let end = simulation.now + Duration::from_secs(5);
            simulation.run(end).map_err(TestCaseError::fail)?;
            let rate = simulation.contracts.last().map_or(0.0, |c| c.0.rate);
            let used = (simulation.admitted() - before) as f64 / 5.0 / rate;
            prop_assert!(
                used > 0.9,
                "{used} of the rate is used, seats {:?}",
                simulation.store
            );
            Ok(())
        },
    );
    if let Err(failure) = result {
        panic!("{failure}");
    }
}
