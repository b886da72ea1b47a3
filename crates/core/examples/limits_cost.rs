//! Measures the work of one host's limits at the size of the target fleet: 9 hosts in a group,
//! 740 databases of 3 members and 8 organisations.
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
/// Time between two rounds of the daemon's driver.
const ROUND: Duration = Duration::from_millis(50);
const SECONDS: u64 = 20;

fn main() {
    for busy in [0, 1, ORGANISATIONS] {
        let (work, messages) = run(busy);
        let seconds = SECONDS as f64;
        println!(
            "{busy} of {ORGANISATIONS} organisations busy on host 0: {:.2}% of a core and {:.1} \
             messages/s on host 0",
            work.as_secs_f64() / seconds * 100.0,
            messages as f64 / seconds
        );
    }
}

fn run(busy: usize) -> (Duration, usize) {
    let members = (0..DATABASES * MEMBERS).map(|i| {
        let id = LimitId::Connections(format!("db-{}", i / MEMBERS), format!("m{i}"));
        (id, Amount::whole(35))
    });
    let rates = (0..ORGANISATIONS).map(|i| {
        let id = LimitId::Rate(format!("org-{i}"));
        (id, Amount::new(10_000.0, 1_000.0))
    });
    let limits: BTreeMap<LimitId, Amount> = members.chain(rates).collect();
    let names: Vec<String> = (0..HOSTS).map(|i| format!("host-{i}")).collect();
    let mut table = SeatTable::default();
    let mut nodes = Vec::new();
    for (name, incarnation) in names.iter().zip(1..) {
        table.add_seat(name.clone(), incarnation, true);
        let mut node = Coordinator::new(name.clone(), incarnation, Division::Loans, Duration::ZERO);
        node.set_limits(&limits, Duration::ZERO);
        node.set_peers(names.clone(), Duration::ZERO);
        nodes.push(node);
    }
    table.version = 1;
    let mut now = Duration::ZERO;
    for node in &mut nodes {
        node.on_table(&table, now);
    }
    let (mut work, mut messages) = (Duration::ZERO, 0);
    let warm = Duration::from_secs(5);
    while now < warm + Duration::from_secs(SECONDS) {
        now += ROUND;
        for organisation in 0..busy {
            let limit = LimitId::Rate(format!("org-{organisation}"));
            if let Some(share) = nodes[0].share(&limit, now) {
                for _ in 0..400 {
                    share.demand.on_arrival(now);
                }
            }
        }
        let mut queue: Vec<(usize, String, Message)> = Vec::new();
        for (index, node) in nodes.iter_mut().enumerate() {
            let begun = Instant::now();
            let out = node.tick(now);
            if index == 0 && now > warm {
                work += begun.elapsed();
                messages += out.len();
            }
            queue.extend(out.into_iter().map(|o| (index, o.to, o.message)));
        }
        while let Some((from, to, message)) = queue.pop() {
            let index = names.iter().position(|n| *n == to).unwrap_or_default();
            let begun = Instant::now();
            let out = nodes[index].on_message(&names[from], from as u64 + 1, &message, now);
            if index == 0 && now > warm {
                work += begun.elapsed();
                messages += out.len();
            }
            queue.extend(out.into_iter().map(|o| (index, o.to, o.message)));
        }
    }
    (work, messages)
}
