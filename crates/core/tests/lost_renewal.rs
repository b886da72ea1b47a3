//! Guards against connections that are closed under their statements because one message of a
//! loan's renewal was lost.

mod support;

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Division;
use magnoliahatch_core::message::Message;
use support::simulation::Simulation;

const HOSTS: usize = 3;
/// Connections of the member; the floor of a host is a third of them.
const CONNECTIONS: u32 = 24;
/// Connections in use on one host, of which a third are borrowed.
const USED: u32 = 12;
/// Time between two losses, in which the loans are renewed several times.
const SPACING: Duration = Duration::from_millis(2300);
const LOSSES: usize = 20;

#[test]
fn one_lost_request_closes_no_connection_in_use() {
    lose_one_at_a_time(|message| matches!(message, Message::LoanRequest(_)));
}

#[test]
fn one_lost_grant_closes_no_connection_in_use() {
    lose_one_at_a_time(|message| matches!(message, Message::LoanGrant(_)));
}

fn lose_one_at_a_time(lost: fn(&Message) -> bool) {
    for busy in 0..HOSTS {
        let contract = (Amount::new(400.0, 40.0), CONNECTIONS);
        let mut simulation = Simulation::new(HOSTS, contract, Division::Loans, 7);
        for host in 0..HOSTS {
            simulation.start(host);
        }
        simulation.hosts[busy].wanted_connections = USED;
        simulation.run(Duration::from_secs(15)).unwrap();
        for loss in 0..LOSSES {
            simulation.net.drop_next = Some(lost);
            let end = simulation.now + SPACING;
            while simulation.now < end {
                simulation.run(simulation.now + simulation.step).unwrap();
                let open = simulation.hosts[busy].open_connections;
                assert_eq!(open, USED, "host {busy}, loss {loss}");
            }
        }
    }
}
