//! Explores all orders of events in a change of primary, up to a number of steps and faults.
//!
//! Hosts run the real decisions: their copies of the store (`ViewState`), whether they may use a
//! primary (`CopyTimes`), the steps of a change (`Promotion`, `Holding`, `successor`), and the repair
//! of a record after a restore of the store (`record_repair`). Store, members, promotion service and
//! the calls between hosts are models. `MODEL_DEPTH` sets the number of steps.

mod explore;
mod host;
mod store;
mod world;

use world::Faults;
use world::World;

/// Steps of the runs in CI. Each further step takes about five times as long.
const DEPTH: usize = 5;

fn depth() -> usize {
    let given = std::env::var("MODEL_DEPTH").ok();
    given.and_then(|d| d.parse().ok()).unwrap_or(DEPTH)
}

fn explore(name: &str, faults: Faults) {
    let found = explore::explore(&World::start(faults), depth());
    let (states, took) = (found.states, found.took.as_secs_f32());
    println!("{name}: {states} states in {} steps, {took:.1} s", depth());
    if let Some(trace) = found.counterexample {
        panic!("{name}:\n{trace}");
    }
}

/// Guards against a host that uses a former primary, and against tokens that go back, while hosts end,
/// start and are cut off from each other and from the store.
#[test]
fn hosts_end_and_start() {
    explore(
        "hosts",
        Faults {
            ends: 1,
            starts: 1,
            cuts: 1,
            ..Faults::default()
        },
    );
}

/// Guards against the same while members crash and come back.
#[test]
fn members_crash() {
    explore(
        "members",
        Faults {
            crashes: 1,
            starts: 1,
            ..Faults::default()
        },
    );
}

/// Guards against the same while the store comes back from older copies.
#[test]
fn store_is_restored() {
    explore(
        "restore",
        Faults {
            restores: 1,
            ends: 1,
            ..Faults::default()
        },
    );
}

/// Guards against the same with two restores.
#[test]
fn store_is_restored_twice() {
    explore(
        "two restores",
        Faults {
            restores: 2,
            ..Faults::default()
        },
    );
}
