//! Tests of the limits that follow from a machine, and of the number of connections.

use std::collections::BTreeSet;

use magnoliahatch_gateway::policy::client_limits::ClientLimits;
use magnoliahatch_gateway::policy::connection_count::ConnectionCount;
use magnoliahatch_gateway::policy::connection_count::Entry;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_206;
/// The smallest host of the fleets: memory in bytes, and descriptors.
const SMALLEST_HOST: (u64, u64) = (160_000_000, 4300);
/// Sessions of one host after the loss of most hosts, all of which connect within a second.
const SESSIONS_AFTER_LOSS: usize = 450;
/// Largest message, in bytes.
const LARGEST_MESSAGE: u64 = 1 << 20;

/// Guards against defaults that ordinary clients reach on the smallest host.
#[test]
fn ordinary_clients_stay_within_the_limits_of_the_smallest_host() {
    let (memory, descriptors) = SMALLEST_HOST;
    let limits = ClientLimits::for_machine(memory, descriptors);
    assert!(limits.max_connections > SESSIONS_AFTER_LOSS, "{limits:?}");
    assert!(limits.max_starting > SESSIONS_AFTER_LOSS, "{limits:?}");
    assert!(limits.max_bytes > LARGEST_MESSAGE * 20, "{limits:?}");
    assert!(limits.max_answer_bytes > LARGEST_MESSAGE * 8, "{limits:?}");
    assert!(
        limits.max_session_bytes >= LARGEST_MESSAGE * 8,
        "{limits:?}"
    );
}

/// Guards against limits that exceed the machine.
#[test]
fn limits_stay_below_the_machine() {
    for (memory, descriptors) in [(48, 400), (160, 4300), (512, 8192), (16_000, 256)] {
        let limits = ClientLimits::for_machine(memory * 1_000_000, descriptors);
        assert!(limits.max_bytes * 2 < memory * 1_000_000, "{limits:?}");
        let clients = limits.max_connections as u64;
        assert!(clients * 4 <= descriptors - 200, "{limits:?}");
    }
}

/// Guards against silent connections that keep ordinary clients out, and against sessions that are
/// closed for new connections.
#[test]
fn oldest_connection_without_start_makes_room() {
    let mut count = ConnectionCount::new(4, 2);
    assert_eq!([1, 2].map(|id| count.enter(id)), [Entry::Admit; 2]);
    assert_eq!(count.enter(3), Entry::Replace(1));
    count.on_started(2);
    count.on_started(3);
    assert_eq!(count.enter(4), Entry::Admit);
    count.on_started(4);
    assert_eq!(count.enter(5), Entry::Admit);
    assert_eq!(count.enter(6), Entry::Replace(5));
    count.on_started(6);
    assert_eq!(count.enter(7), Entry::Refuse);
    count.leave(2);
    assert_eq!(count.enter(8), Entry::Admit);
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against more connections than the limit, and a session that is closed for a new one.
    #[test]
    fn connections_are_bounded(
        steps in prop::collection::vec((0_u8..3, any::<prop::sample::Index>()), 1..200)
    ) {
        let mut count = ConnectionCount::new(8, 5);
        let mut open = BTreeSet::new();
        let mut started = BTreeSet::new();
        for (id, (step, index)) in (0..).zip(steps) {
            let chosen = (!open.is_empty()).then(|| {
                let ids: Vec<u64> = open.iter().copied().collect();
                *index.get(&ids)
            });
            match (step, chosen) {
                (1, Some(chosen)) => {
                    count.on_started(chosen);
                    started.insert(chosen);
                }
                (2, Some(chosen)) => {
                    count.leave(chosen);
                    open.remove(&chosen);
                }
                _ => match count.enter(id) {
                    Entry::Admit => {
                        open.insert(id);
                    }
                    Entry::Replace(oldest) => {
                        prop_assert!(open.remove(&oldest));
                        prop_assert!(!started.contains(&oldest));
                        open.insert(id);
                    }
                    Entry::Refuse => prop_assert!(open.len() >= 8),
                },
            }
            prop_assert!(open.len() <= 8);
            prop_assert!(open.iter().filter(|id| !started.contains(id)).count() <= 5);
            prop_assert!(count.open_count() == open.len());
        }
    }
}
