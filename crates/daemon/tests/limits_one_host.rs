//! Tests of limit enforcement on a single host.

mod limits_support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use limits_support::fleet::view;
use limits_support::store::Store;
use limits_support::wait_until;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_daemon::limits::Limits;
use magnoliahatch_daemon::limits::channel;
use magnoliahatch_daemon::limits::channel::MeshChannel;
use magnoliahatch_daemon::limits::limit_error::LimitError;
use magnoliahatch_daemon::limits::settings::LimitSettings;
use tokio::sync::watch;

/// A host without peers; its configuration and mesh channels stay open.
struct SingleHost {
    limits: Limits,
    _config: watch::Sender<Arc<ConfigView>>,
    _link: MeshChannel,
}

async fn start_host(rate: f64, burst: f64, connections: u32) -> SingleHost {
    let store = Store::bind().await;
    let client = StoreClient::open(&store.url()).unwrap();
    let (sender, config) =
        watch::channel(Arc::new(view(rate, burst, connections, &BTreeMap::new())));
    let (end, peer) = channel::channel_pair();
    let settings = LimitSettings::default();
    let limits = Limits::spawn("host-0".into(), 7, settings, end, client, config);
    let seated = limits.clone();
    wait_until("the floor is in force", move || {
        seated.seat() == (true, true)
    })
    .await;
    SingleHost {
        limits,
        _config: sender,
        _link: peer,
    }
}

fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Guards against a single host that admits more, or much less, than the contract allows.
#[tokio::test]
async fn a_single_host_admits_the_rate_and_refuses_the_rest() {
    let host = start_host(200.0, 20.0, 4).await;
    let start = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..400 {
        let limits = host.limits.clone();
        tasks.push(tokio::spawn(async move {
            limits.admit("org", deadline_in(1_000)).await
        }));
    }
    let mut admitted = 0.0;
    for task in tasks {
        match task.await.unwrap() {
            Ok(()) => admitted += 1.0,
            Err(error) => assert!(matches!(error, LimitError::Rate { .. }), "{error}"),
        }
    }
    let bound = 200.0 * start.elapsed().as_secs_f64() + 20.0;
    println!("{admitted} admitted, bound {bound}");
    assert!(admitted <= bound && admitted > 180.0);
}

/// Guards against admitting or queueing requests that name an unknown organisation or member.
#[tokio::test]
async fn unknown_organisations_and_members_are_refused() {
    let host = start_host(10.0, 10.0, 1).await;
    let refused = host.limits.admit("nobody", deadline_in(100)).await;
    assert_eq!(refused, Err(LimitError::NoContract("nobody".into())));
    let refused = host
        .limits
        .connection("db", "m9", "org", deadline_in(100))
        .await;
    assert!(matches!(refused, Err(LimitError::NoMember(..))));
}

/// Guards against more permits than connections, and against a queued session that is not served
/// when a permit is returned.
#[tokio::test]
async fn permits_are_passed_on_and_never_exceed_the_connections() {
    let host = start_host(10.0, 10.0, 2).await;
    let first = host
        .limits
        .connection("db", "m1", "org", deadline_in(2_000))
        .await
        .unwrap();
    let second = host
        .limits
        .connection("db", "m1", "org", deadline_in(2_000))
        .await
        .unwrap();
    let refused = host
        .limits
        .connection("db", "m1", "org", deadline_in(50))
        .await;
    assert!(matches!(refused, Err(LimitError::Queue { .. })));
    let limits = host.limits.clone();
    let third = tokio::spawn(async move {
        limits
            .connection("db", "m1", "other", deadline_in(5_000))
            .await
    });
    drop(first);
    assert!(third.await.unwrap().is_ok());
    assert!(!second.is_revoked());
    assert!(!host.limits.report_open("db", "m1", 3));
    assert!(host.limits.report_open("db", "m1", 2));
    assert_eq!(*host.limits.allowance("db", "m1").borrow(), 2);
}
