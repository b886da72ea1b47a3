//! Guards against changes that are reported wrongly, lost or reverted when store faults coincide
//! with concurrent operators.

mod store_support;

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use magnoliahatch_bench::store::fault::OutageAnswer;
use magnoliahatch_bench::store::fault::StoreFault;
use magnoliahatch_client::change_id;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_daemon::config::handle::ConfigHandle;
use store_support::contract;
use store_support::put;
use store_support::store;
use store_support::wait_until;

const OPERATORS: u32 = 4;
const CHANGES: u32 = 25;
/// Faults in order, each with its duration in milliseconds. Some last longer than the client's call
/// timeout of 2 s, others end within it.
const FAULTS: [(StoreFault, u64); 7] = [
    (StoreFault::None, 100),
    (StoreFault::LostAnswer, 300),
    (StoreFault::Slow { delay_ms: 20 }, 200),
    (
        StoreFault::Down {
            answer: OutageAnswer::Refuse,
        },
        300,
    ),
    (StoreFault::LostAnswer, 2500),
    (
        StoreFault::Down {
            answer: OutageAnswer::Silent,
        },
        2500,
    ),
    (StoreFault::None, 100),
];

#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    Accepted(u64),
    NotRun,
    Unknown,
}

/// Changes one contract repeatedly, each time to a rate that no other change uses.
async fn run_operator(store: StoreClient, operator: u32) -> Vec<(f64, Outcome)> {
    let mut outcomes = Vec::new();
    let mut change = 0;
    while change < CHANGES {
        let Ok(found) = store.get(kind::CONTRACT, "a").await else {
            continue;
        };
        let rate = f64::from(operator * CHANGES + change + 2);
        let write_request = WriteRequest {
            change_id: change_id::generate(),
            value: contract(rate),
        };
        let put = store
            .put(kind::CONTRACT, "a", found.version, &write_request)
            .await;
        outcomes.push(match put {
            Ok(object) => (rate, Outcome::Accepted(object.version)),
            Err(StoreError::Conflict { .. }) => (rate, Outcome::NotRun),
            Err(_) => (rate, Outcome::Unknown),
        });
        change += 1;
    }
    outcomes
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcomes_are_reported_correctly_and_views_converge() {
    let (server, store) = store();
    put(&store, kind::CONTRACT, "a", 0, contract(1.0)).await;
    let hosts: Vec<_> = (0..3).map(|_| ConfigHandle::spawn(store.clone())).collect();
    let watchers = hosts.iter().map(|host| {
        let mut views = host.subscribe();
        tokio::spawn(async move {
            let (mut last_revision, mut last_version) = (0, 0);
            while views.changed().await.is_ok() {
                let view = views.borrow_and_update().clone();
                let version = view.object(kind::CONTRACT, "a").map_or(0, |o| o.version);
                assert!(view.revision >= last_revision && version >= last_version);
                (last_revision, last_version) = (view.revision, version);
            }
        })
    });
    let watchers: Vec<_> = watchers.collect();
    let operators = (0..OPERATORS).map(|n| tokio::spawn(run_operator(store.clone(), n)));
    let operators = join_all(operators);
    tokio::pin!(operators);
    let mut faults = FAULTS.iter().cycle();
    let results = loop {
        let (fault, millis) = faults.next().unwrap();
        server.set_fault(*fault);
        tokio::select! {
            results = &mut operators => break results,
            () = tokio::time::sleep(Duration::from_millis(*millis)) => {}
        }
    };
    server.set_fault(StoreFault::None);
    let history = store.watch(0, Duration::ZERO).await.unwrap();
    let rates: BTreeMap<u64, f64> = history
        .changes
        .iter()
        .map(|c| {
            (
                c.revision,
                c.object.as_ref().unwrap().value["rate"].as_f64().unwrap(),
            )
        })
        .collect();
    let mut counts = [0; 3];
    for (rate, outcome) in results.into_iter().flat_map(Result::unwrap) {
        match outcome {
            Outcome::Accepted(version) => {
                counts[0] += 1;
                assert_eq!(rates[&version], rate);
            }
            Outcome::NotRun => {
                counts[1] += 1;
                assert!(
                    !rates.values().any(|found| *found == rate),
                    "{rate} took effect"
                );
            }
            Outcome::Unknown => counts[2] += 1,
        }
    }
    println!(
        "accepted {}, not run {}, unknown {}",
        counts[0], counts[1], counts[2]
    );
    assert!(counts[0] > 0 && counts[1] > 0);
    wait_until("all views hold the last change", || {
        hosts
            .iter()
            .all(|host| host.view().revision == history.revision)
    })
    .await;
    for host in &hosts {
        assert_eq!(host.view().contracts["a"].rate, rates[&history.revision]);
    }
    drop(hosts);
    for watcher in watchers {
        watcher.await.unwrap();
    }
}
