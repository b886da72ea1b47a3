//! Combinations of faults that random sequences hardly ever produce.

mod support;

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Division;
use support::simulation::Simulation;

fn simulation(hosts: usize, seated: usize, seed: u64) -> Simulation {
    let contract = (Amount::new(400.0, 40.0), 28);
    let mut simulation = Simulation::new(hosts, contract, Division::Loans, seed);
    for host in 0..seated {
        simulation.start(host);
        simulation.hosts[host].load = f64::INFINITY;
        simulation.hosts[host].wanted_connections = 20;
    }
    run(&mut simulation, 15_000);
    simulation
}

fn run(simulation: &mut Simulation, ms: u64) {
    simulation
        .run(simulation.now + Duration::from_millis(ms))
        .unwrap();
}

fn load_only(simulation: &mut Simulation, busy: usize) {
    for (index, host) in simulation.hosts.iter_mut().enumerate() {
        host.load = if index == busy { f64::INFINITY } else { 0.0 };
        host.wanted_connections = if index == busy { 28 } else { 0 };
    }
}

/// Cuts every pair of hosts that have no group in common.
fn partition(simulation: &mut Simulation, groups: &[&[usize]]) {
    let count = simulation.hosts.len();
    simulation.net.cut = (0..count)
        .flat_map(|a| (0..count).map(move |b| (a, b)))
        .filter(|(a, b)| !groups.iter().any(|g| g.contains(a) && g.contains(b)))
        .collect();
}

fn seated_hosts(simulation: &Simulation) -> Vec<String> {
    let table = simulation.store.as_ref().unwrap();
    table.seats.iter().map(|s| s.host.clone()).collect()
}

/// Guards against a seat that is taken over while its holder is cut off but still has leases.
#[test]
fn a_seat_is_taken_over_only_after_its_holder_is_fenced() {
    for seed in 0..8 {
        let mut simulation = simulation(5, 4, seed);
        partition(&mut simulation, &[&[1, 2, 3, 4]]);
        simulation.hosts[0].store_cut = true;
        run(&mut simulation, 500 + 400 * seed);
        simulation.start(4);
        simulation.hosts[4].load = f64::INFINITY;
        simulation.hosts[4].wanted_connections = 20;
        run(&mut simulation, 40_000);
        assert!(!seated_hosts(&simulation).contains(&"host-0".to_owned()));
    }
}

/// Guards against a restarted host that uses its floor while a borrower still uses the part that
/// the host lent just before it crashed.
#[test]
fn a_restarted_lender_waits_for_the_loans_of_its_previous_run() {
    // One of the hosts is the broker, which uses its loans until they end.
    for (seed, busy) in (0..4).flat_map(|seed| (0..4).map(move |busy| (seed, busy))) {
        let mut simulation = simulation(4, 4, seed);
        load_only(&mut simulation, busy);
        run(&mut simulation, 6_000 + 260 * seed);
        for host in (0..4).filter(|host| *host != busy) {
            simulation.crash(host);
            simulation.start(host);
            simulation.hosts[host].load = f64::INFINITY;
            simulation.hosts[host].wanted_connections = 20;
            run(&mut simulation, 6_000);
            load_only(&mut simulation, busy);
            run(&mut simulation, 4_000);
        }
    }
}

/// Guards against a holder that uses its floor again while the broker cannot reach the borrower, or
/// has lent on an amount for longer than the holder lent it.
#[test]
fn a_holder_gets_its_share_back_only_after_the_borrower_has_stopped() {
    let pairs = [(0, 1), (2, 1), (3, 1), (0, 2), (0, 3), (2, 3)];
    let reversed = pairs.map(|(a, b)| (b, a));
    for (a, b) in pairs.into_iter().chain(reversed) {
        for (delay, all) in [(0, true), (170, false), (340, true), (430, false)] {
            let mut simulation = simulation(4, 4, 3);
            load_only(&mut simulation, 1);
            run(&mut simulation, 6_000 + delay);
            simulation.net.cut = [(a, b), (b, a)].into();
            for (index, host) in simulation.hosts.iter_mut().enumerate() {
                if all || index == a {
                    host.load = f64::INFINITY;
                    host.wanted_connections = 20;
                }
            }
            run(&mut simulation, 5_000);
        }
    }
}

/// Guards against a holder that was fenced when a seat was added and is granted leases again before
/// it knows its smaller floor. Also guards against other hosts losing their leases when it returns.
#[test]
fn a_fenced_holder_returns_only_with_its_smaller_floor() {
    for (seed, one_way) in [(0, true), (1, true), (2, false), (3, false)] {
        let mut simulation = simulation(5, 4, seed);
        partition(&mut simulation, &[&[1, 2, 3, 4]]);
        if one_way {
            // Host 0 receives the others' heartbeats and does not refuse leases to them.
            simulation.net.cut.retain(|(from, _)| *from == 0);
        }
        simulation.hosts[0].store_cut = true;
        simulation.net.drop_seat_tables = true;
        run(&mut simulation, 200);
        simulation.start(4);
        simulation.hosts[4].load = f64::INFINITY;
        simulation.hosts[4].wanted_connections = 20;
        run(&mut simulation, 3_000);
        simulation.hosts[4].store_cut = true;
        run(&mut simulation, 8_500);
        simulation.net.cut.clear();
        run(&mut simulation, 500);
        // Host 4 writes that its floor is in force. Under this newer table the refusals of host 0
        // may be withdrawn.
        simulation.hosts[4].store_cut = false;
        for _ in 0..8 {
            run(&mut simulation, 1_000);
            // If host 0 refuses leases to the others, they must keep their majority.
            for host in 1..5 {
                let local = simulation.hosts[host].local(simulation.now);
                let coordinator = simulation.hosts[host].coordinator.as_ref().unwrap();
                assert!(coordinator.seat().has_majority_lease(local), "host {host}");
            }
        }
    }
}

/// Guards against a seat that is added while the parts of floors that the other holders give up
/// for it are still lent to a borrower that does not receive the change.
#[test]
fn a_seat_is_added_only_after_the_loans_of_the_others_have_shrunk() {
    for (a, b) in [(0, 1), (0, 2), (0, 3), (1, 2), (1, 3), (2, 3)] {
        let mut simulation = simulation(5, 4, 3);
        load_only(&mut simulation, 1);
        run(&mut simulation, 6_000);
        simulation.net.cut = [(a, b), (b, a)].into();
        simulation.start(4);
        simulation.hosts[4].load = f64::INFINITY;
        simulation.hosts[4].wanted_connections = 20;
        run(&mut simulation, 10_000);
        simulation.net.cut.clear();
        run(&mut simulation, 10_000);
        assert_eq!(seated_hosts(&simulation).len(), 5);
    }
}

/// Guards against a holder whose leases come from hosts that were themselves replaced. Hosts 0, 5
/// and 6 reach only each other, except that host 0 also reaches host 4, and they do not receive the
/// new seat tables.
#[test]
fn leases_of_replaced_hosts_do_not_count() {
    for seed in 0..4 {
        let mut simulation = simulation(8, 7, seed);
        simulation.net.drop_seat_tables = true;
        partition(&mut simulation, &[&[1, 2, 3, 4, 7], &[0, 4], &[0, 5, 6]]);
        for host in [0, 5, 6] {
            simulation.hosts[host].store_cut = true;
        }
        run(&mut simulation, 60_000);
        simulation.start(7);
        simulation.hosts[7].load = f64::INFINITY;
        simulation.hosts[7].wanted_connections = 20;
        run(&mut simulation, 60_000);
        println!("{:?}", seated_hosts(&simulation));
        assert!(
            !seated_hosts(&simulation)
                .iter()
                .any(|s| s == "host-5" || s == "host-6")
        );
    }
}

/// Guards against a burst that is available again in full when share moves to a host that had none.
#[test]
fn a_new_holder_starts_with_an_empty_bucket() {
    let mut simulation = simulation(4, 4, 1);
    for turn in 0..40 {
        for host in 0..4 {
            simulation.hosts[host].load = if host == turn % 4 { f64::INFINITY } else { 0.0 };
        }
        run(&mut simulation, 700);
    }
}

/// Guards against a majority that refuses all work while the store is down. For a while, each of
/// the two remaining hosts had refused leases to the other, or the other had not received its
/// heartbeats.
#[test]
fn a_majority_serves_after_a_pause_and_a_loss_without_the_store() {
    for seed in 0..8 {
        let mut simulation = simulation(3, 3, seed);
        for host in &mut simulation.hosts {
            host.store_cut = true;
        }
        simulation.hosts[1].paused = true;
        // Longer than a lease, but shorter than the time after which a refusal is effective.
        run(&mut simulation, 5_000 + 250 * seed);
        simulation.hosts[1].paused = false;
        simulation.crash(2);
        run(&mut simulation, 6_000);
        let before = [0, 1].map(|index| simulation.hosts[index].admitted);
        run(&mut simulation, 2_000);
        for (index, before) in before.into_iter().enumerate() {
            let admitted = simulation.hosts[index].admitted - before;
            assert!(admitted > 0, "host-{index} serves nothing, seed {seed}");
        }
    }
}

/// Guards against a refusal that is withdrawn after another host may have relied on it. The holder
/// returns just as its seat is taken over, and would have leases at the same time as its successor.
#[test]
fn a_refusal_that_may_have_been_relied_on_is_kept() {
    for step in 0..60 {
        let mut simulation = simulation(5, 4, step);
        partition(&mut simulation, &[&[1, 2, 3, 4]]);
        simulation.hosts[0].store_cut = true;
        // All refusals are effective, and no host wants the seat yet.
        run(&mut simulation, 10_000);
        simulation.start(4);
        simulation.hosts[4].load = f64::INFINITY;
        simulation.hosts[4].wanted_connections = 20;
        run(&mut simulation, 50 * step);
        simulation.net.cut.clear();
        run(&mut simulation, 8_000);
    }
}
