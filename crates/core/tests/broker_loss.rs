//! Guards against a rate that stays at the floors of the remaining hosts for as long as a lease,
//! after the host that lends out the unused parts was lost.

mod support;

use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Division;
use support::simulation::Simulation;

const HOSTS: usize = 3;
const RATE: f64 = 400.0;
/// Time after the loss in which the last loans of the lost host end.
const LOANS_END: Duration = Duration::from_millis(1000);
/// Time after that in which the borrower is observed. With `LOANS_END` shorter than a lease, after
/// which the lost host is no longer a peer.
const OBSERVED: Duration = Duration::from_millis(2500);

/// Load pattern: one organisation whose callers all use one host, and the loss of another host. The
/// two remaining hosts hold two thirds of the rate, of which the borrower must get three quarters.
#[test]
fn borrower_turns_to_another_broker_when_the_first_is_lost() {
    for (busy, lost) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)] {
        let contract = (Amount::new(RATE, 40.0), 28);
        let mut simulation = Simulation::new(HOSTS, contract, Division::Loans, 7);
        for host in 0..HOSTS {
            simulation.start(host);
        }
        simulation.hosts[busy].load = f64::INFINITY;
        let settled = simulation.now + Duration::from_secs(15);
        simulation.run(settled).unwrap();
        simulation.crash(lost);
        simulation.run(settled + LOANS_END).unwrap();
        let before = simulation.admitted();
        simulation.run(settled + LOANS_END + OBSERVED).unwrap();
        let admitted = (simulation.admitted() - before) as f64;
        let available = RATE * 2.0 / 3.0 * OBSERVED.as_secs_f64();
        assert!(
            admitted >= available * 0.75,
            "host {busy} admitted {admitted} of {available} after the loss of host {lost}"
        );
    }
}
