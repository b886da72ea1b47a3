//! Order, time limits and refusals of the queue for a member's connections.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::fair_queue::EnqueueOutcome;
use magnoliahatch_core::fair_queue::FairQueue;
use magnoliahatch_core::fair_queue::QueueOrder;

const CAPACITY: usize = 4;

/// Returns the connection time by organisation and the longest wait of `light`. `heavy` and `slow`
/// always have waiting requests, and `light` sends one every 100 ms. `slow` holds connections ten
/// times longer.
fn contend(order: QueueOrder) -> (BTreeMap<String, f64>, Duration) {
    let mut queue = FairQueue::new(order);
    queue.set_capacity(CAPACITY);
    let mut waiting_since = BTreeMap::new();
    let mut active: Vec<(Duration, u64)> = Vec::new();
    let (mut connection_time, mut longest_wait) = (BTreeMap::<String, f64>::new(), Duration::ZERO);
    let hold = |name: &str| Duration::from_millis(if name == "slow" { 50 } else { 5 });
    for ms in 0..20_000 {
        let now = Duration::from_millis(ms);
        for (_, ticket) in active.extract_if(.., |(end, _)| *end <= now) {
            queue.release(ticket, now);
        }
        let asks = [
            ("heavy", 3, true),
            ("slow", 1, true),
            ("light", 1, ms % 100 == 0),
        ];
        let mut served = Vec::new();
        for (name, weight, ask) in asks {
            let backlog = waiting_since.values().filter(|(n, _)| *n == name).count();
            if !ask || backlog >= 30 {
                continue;
            }
            let deadline = now + Duration::from_secs(60);
            match queue.enqueue(name, weight, CAPACITY, now, deadline) {
                EnqueueOutcome::Granted(ticket) => served.push((ticket, name, now)),
                EnqueueOutcome::Waiting(ticket) => {
                    waiting_since.insert(ticket, (name, now));
                }
                EnqueueOutcome::Refused(wait) => panic!("refused {name}: {wait:?}"),
            }
        }
        while let Some(ticket) = queue.grant_next(now) {
            let (name, since) = waiting_since.remove(&ticket).unwrap();
            served.push((ticket, name, since));
        }
        for (ticket, name, since) in served {
            active.push((now + hold(name), ticket));
            *connection_time.entry(name.to_owned()).or_default() += hold(name).as_secs_f64();
            if name == "light" {
                longest_wait = longest_wait.max(now - since);
            }
        }
        assert!(queue.in_use() <= CAPACITY);
    }
    (connection_time, longest_wait)
}

/// Guards against connection time that is not proportional to the weights, and against an
/// organisation that waits for the backlog of the others.
#[test]
fn connection_time_follows_weights_and_light_use_hardly_waits() {
    let (fair, wait) = contend(QueueOrder::Fair);
    let (arrival, baseline) = contend(QueueOrder::Arrival);
    println!("fair: {fair:?}, longest wait {wait:?}; arrival: {arrival:?}, {baseline:?}");
    let ratio = fair["heavy"] / fair["slow"];
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
    assert!(wait < Duration::from_millis(60) && baseline > wait * 5);
}

/// Guards against requests that wait although their time limit cannot be met, and against requests
/// that are not removed when their limit passes.
#[test]
fn a_request_is_refused_as_soon_as_its_deadline_cannot_be_met() {
    let mut queue = FairQueue::new(QueueOrder::Fair);
    queue.set_capacity(1);
    let mut now = Duration::ZERO;
    for _ in 0..100 {
        let entered = queue.enqueue("org", 1, 1, now, now);
        let EnqueueOutcome::Granted(ticket) = entered else {
            panic!("{entered:?}");
        };
        now += Duration::from_millis(100);
        queue.release(ticket, now);
    }
    let deadline = now + Duration::from_millis(250);
    let granted = queue.enqueue("org", 1, 1, now, deadline);
    let waits = queue.enqueue("org", 1, 1, now, deadline);
    let second = queue.enqueue("org", 1, 1, now, deadline);
    let third = queue.enqueue("org", 1, 1, now, deadline);
    assert!(matches!(granted, EnqueueOutcome::Granted(_)));
    assert!(matches!(
        (waits, second),
        (EnqueueOutcome::Waiting(_), EnqueueOutcome::Waiting(_))
    ));
    assert!(matches!(third, EnqueueOutcome::Refused(_)), "{third:?}");
    assert_eq!(queue.expire(deadline - Duration::from_millis(1)), []);
    assert_eq!(queue.expire(deadline).len(), 2);
    assert_eq!(queue.waiting(), 0);
}
