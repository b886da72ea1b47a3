//! Measures the cost of the limits on one host at the size of the target fleet: 9 hosts in a group,
//! 740 databases with 3 members each, and 8 organisations.
//!
//! Run with `cargo run --release -p magnoliahatch-core --example limits_cost`.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Coordinator;
use magnoliahatch_core::coordinator::Division;
use magnoliahatch_core::limit::LimitId;
use magnoliahatch_core::message::Message;
use magnoliahatch_core::seat_table::SeatTable;

const HOSTS: usize = 9;
const DATABASES: usize = 740;
const MEMBERS: usize = 3;
const ORGANISATIONS: usize = 8;
/// Interval of the daemon's limits driver.
const TICK: Duration = Duration::from_millis(50);
const SECONDS: u64 = 20;

fn main() {
    for busy in [0, 1, ORGANISATIONS] {
        let (cpu_time, messages) = run(busy);
        let seconds = SECONDS as f64;
        println!(
            "{busy} of {ORGANISATIONS} organisations busy on host 0: {:.2}% of a core and {:.1} \
             messages/s on host 0",
            cpu_time.as_secs_f64() / seconds * 100.0,
            messages as f64 / seconds
        );
    }
}

fn run(busy: usize) -> (Duration, usize) {
    let members = (0..DATABASES * MEMBERS).map(|i| {
        let id = LimitId::Connections(format!("db-{}", i / MEMBERS), format!("m{i}"));
        (id, Amount::connections(35))
    });
    let rates = (0..ORGANISATIONS).map(|i| {
        let id = LimitId::Rate(format!("org-{i}"));
        (id, Amount::new(10_000.0, 1_000.0))
    });
    let limits: BTreeMap<LimitId, Amount> = members.chain(rates).collect();
    let names: Vec<String> = (0..HOSTS).map(|i| format!("host-{i}")).collect();
    let mut table = SeatTable::default();
    let mut coordinators = Vec::new();
    for (name, incarnation) in names.iter().zip(1..) {
        table.add_seat(name.clone(), incarnation, true);
        let mut coordinator =
            Coordinator::new(name.clone(), incarnation, Division::Loans, Duration::ZERO);
        coordinator.set_limits(&limits, Duration::ZERO);
        coordinator.set_peers(names.clone(), Duration::ZERO);
        coordinators.push(coordinator);
    }
    table.version = 1;
    let mut now = Duration::ZERO;
    for coordinator in &mut coordinators {
        coordinator.on_seat_table(&table, now);
    }
    let (mut cpu_time, mut messages) = (Duration::ZERO, 0);
    let warm_up = Duration::from_secs(5);
    while now < warm_up + Duration::from_secs(SECONDS) {
        now += TICK;
        for organisation in 0..busy {
            let limit = LimitId::Rate(format!("org-{organisation}"));
            if let Some(share) = coordinators[0].share(&limit, now) {
                for _ in 0..400 {
                    share.demand.on_arrival(now);
                }
            }
        }
        let mut queue: Vec<(usize, String, Message)> = Vec::new();
        for (index, coordinator) in coordinators.iter_mut().enumerate() {
            let begun = Instant::now();
            let out = coordinator.tick(now);
            if index == 0 && now > warm_up {
                cpu_time += begun.elapsed();
                messages += out.len();
            }
            queue.extend(out.into_iter().map(|o| (index, o.to, o.message)));
        }
        while let Some((from, to, message)) = queue.pop() {
            let index = names.iter().position(|n| *n == to).unwrap_or_default();
            let begun = Instant::now();
            let out = coordinators[index].on_message(&names[from], from as u64 + 1, &message, now);
            if index == 0 && now > warm_up {
                cpu_time += begun.elapsed();
                messages += out.len();
            }
            queue.extend(out.into_iter().map(|o| (index, o.to, o.message)));
        }
    }
    (cpu_time, messages)
}
