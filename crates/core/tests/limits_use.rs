//! Measures how much of a contract can be used, with loans and with static 1/N limits.

mod support;

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Division;
use support::simulation::Simulation;

const RATE: f64 = 1_000.0;
const HOSTS: usize = 8;

#[derive(Debug)]
struct Outcome {
    used: f64,
    refused: u64,
}

fn started_simulation(division: Division) -> Simulation {
    let contract = (Amount::new(RATE, 100.0), 16);
    let mut simulation = Simulation::new(HOSTS, contract, division, 1);
    for host in 0..HOSTS {
        simulation.start(host);
    }
    simulation.run(Duration::from_secs(20)).unwrap();
    simulation
}

/// Sets the load of each host as a fraction of the rate and starts to measure `settle_ms` later.
fn measure(
    simulation: &mut Simulation,
    load: &[f64; HOSTS],
    settle_ms: u64,
    seconds: u64,
) -> Outcome {
    for (host, part) in simulation.hosts.iter_mut().zip(load) {
        host.load = part * RATE;
    }
    let start = simulation.now + Duration::from_millis(settle_ms);
    simulation.run(start).unwrap();
    let (admitted, refused) = (simulation.admitted(), simulation.refused());
    let length = Duration::from_secs(seconds);
    simulation.run(start + length).unwrap();
    Outcome {
        used: (simulation.admitted() - admitted) as f64 / RATE / length.as_secs_f64(),
        refused: simulation.refused() - refused,
    }
}

fn load_on(host: usize, load: f64) -> [f64; HOSTS] {
    let mut loads = [0.0; HOSTS];
    loads[host] = load;
    loads
}

fn print_outcome(case: &str, division: Division, outcome: &Outcome) {
    println!(
        "{case}, {division:?}: {:.1}% of the rate used, {} refused",
        outcome.used * 100.0,
        outcome.refused
    );
}

/// Guards against floors that together are less than the contract.
#[test]
fn even_load_uses_the_contract() {
    for division in [Division::Loans, Division::Static] {
        let mut simulation = started_simulation(division);
        let outcome = measure(&mut simulation, &[1.2 / HOSTS as f64; HOSTS], 2_000, 10);
        print_outcome("even load", division, &outcome);
        assert!(outcome.used >= 0.95, "{outcome:?}");
    }
}

/// Guards against unused floors that are not lent to the only busy host.
#[test]
fn load_on_one_host_uses_the_contract() {
    let mut simulation = started_simulation(Division::Static);
    let baseline = measure(&mut simulation, &load_on(0, 1.2), 2_000, 10);
    print_outcome("load on one host", Division::Static, &baseline);
    let mut simulation = started_simulation(Division::Loans);
    let outcome = measure(&mut simulation, &load_on(0, 1.2), 2_000, 10);
    print_outcome("load on one host", Division::Loans, &outcome);
    assert!(outcome.used >= 0.95, "{outcome:?}");
}

/// Guards against loans that stay with a host after its load has moved away.
#[test]
fn load_that_moves_uses_the_contract_two_seconds_later() {
    for division in [Division::Static, Division::Loans] {
        let mut simulation = started_simulation(division);
        for host in 0..HOSTS {
            let outcome = measure(&mut simulation, &load_on(host, 1.2), 2_000, 3);
            print_outcome(&format!("load moved to host {host}"), division, &outcome);
            if division == Division::Loans {
                assert!(outcome.used >= 0.95, "{outcome:?}");
            }
        }
    }
}

/// Guards against refusals while the organisation is within its rate, including when its load
/// moves.
#[test]
fn nothing_is_refused_below_90_percent_of_the_rate() {
    for division in [Division::Static, Division::Loans] {
        let mut simulation = started_simulation(division);
        let mut refused = 0;
        for host in [0, 3, 5, 1, 7, 2, 6, 4] {
            refused += measure(&mut simulation, &load_on(host, 0.9), 0, 5).refused;
        }
        println!(
            "moving load of 90%, {division:?}: {refused} refused, longest wait {:?}",
            simulation.longest_wait
        );
        if division == Division::Loans {
            assert_eq!(refused, 0);
        }
    }
}
