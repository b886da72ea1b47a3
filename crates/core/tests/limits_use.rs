//! How much of a contract can be used, with floors and loans and with static 1/N limits.

mod support;

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Division;
use support::world::World;

const RATE: f64 = 1_000.0;
const HOSTS: usize = 8;

#[derive(Debug)]
struct Outcome {
    used: f64,
    refused: u64,
}

fn started(division: Division) -> World {
    let contract = (Amount::new(RATE, 100.0), 16);
    let mut world = World::new(HOSTS, contract, division, 1);
    for host in 0..HOSTS {
        world.start(host);
    }
    world.run(Duration::from_secs(20)).unwrap();
    world
}

/// Puts `load` of the rate on each host and measures from `settle` after that.
fn measure(world: &mut World, load: &[f64; HOSTS], settle: u64, seconds: u64) -> Outcome {
    for (host, part) in world.hosts.iter_mut().zip(load) {
        host.load = part * RATE;
    }
    let start = world.now + Duration::from_millis(settle);
    world.run(start).unwrap();
    let (admitted, refused) = (world.admitted(), world.refused());
    let length = Duration::from_secs(seconds);
    world.run(start + length).unwrap();
    Outcome {
        used: (world.admitted() - admitted) as f64 / RATE / length.as_secs_f64(),
        refused: world.refused() - refused,
    }
}

fn on(host: usize, load: f64) -> [f64; HOSTS] {
    let mut loads = [0.0; HOSTS];
    loads[host] = load;
    loads
}

fn print(case: &str, division: Division, outcome: &Outcome) {
    println!(
        "{case}, {division:?}: {:.1}% of the rate used, {} refused",
        outcome.used * 100.0,
        outcome.refused
    );
}

/// Guards against floors that are not handed out in full.
#[test]
fn even_load_uses_the_contract() {
    for division in [Division::Loans, Division::Static] {
        let mut world = started(division);
        let outcome = measure(&mut world, &[1.2 / HOSTS as f64; HOSTS], 2_000, 10);
        print("even load", division, &outcome);
        assert!(outcome.used >= 0.95, "{outcome:?}");
    }
}

/// Guards against unused floors that do not reach the one busy host.
#[test]
fn load_on_one_host_uses_the_contract() {
    let mut world = started(Division::Static);
    let baseline = measure(&mut world, &on(0, 1.2), 2_000, 10);
    print("load on one host", Division::Static, &baseline);
    let mut world = started(Division::Loans);
    let outcome = measure(&mut world, &on(0, 1.2), 2_000, 10);
    print("load on one host", Division::Loans, &outcome);
    assert!(outcome.used >= 0.95, "{outcome:?}");
}

/// Guards against loans that stay where the load was.
#[test]
fn load_that_moves_uses_the_contract_two_seconds_later() {
    for division in [Division::Static, Division::Loans] {
        let mut world = started(division);
        for host in 0..HOSTS {
            let outcome = measure(&mut world, &on(host, 1.2), 2_000, 3);
            print(&format!("load moved to host {host}"), division, &outcome);
            if division == Division::Loans {
                assert!(outcome.used >= 0.95, "{outcome:?}");
            }
        }
    }
}

/// Guards against refusals while the organisation is within its rate, also during the moves.
#[test]
fn nothing_is_refused_below_90_percent_of_the_rate() {
    for division in [Division::Static, Division::Loans] {
        let mut world = started(division);
        let mut refused = 0;
        for host in [0, 3, 5, 1, 7, 2, 6, 4] {
            refused += measure(&mut world, &on(host, 0.9), 0, 5).refused;
        }
        println!(
            "moving load of 90%, {division:?}: {refused} refused, longest wait {:?}",
            world.longest
        );
        if division == Division::Loans {
            assert_eq!(refused, 0);
        }
    }
}
