//! Guards against rows lost or doubled when the primary changes under load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::support::connect;
use crate::support::eventually;
use crate::support::primary;
use crate::support::replica;
use crate::support::try_connect;
use crate::support::verb;

const CHANGES: usize = 6;
const WRITERS: usize = 4;
/// Confirmed rows between two changes of primary.
const ROWS: usize = 40;

/// What the writers share.
struct Load {
    addresses: Vec<SocketAddr>,
    primary: AtomicUsize,
    next: AtomicI64,
    confirmed: Mutex<Vec<i64>>,
    stopped: AtomicUsize,
}

impl Load {
    /// Writes one row and notes it once it is confirmed in the term of the write.
    async fn write(&self) -> Option<()> {
        let address = self.addresses[self.primary.load(Ordering::Relaxed)];
        let data = try_connect(address, "proxy").await.ok()?;
        let control = try_connect(address, "platform").await.ok()?;
        while self.stopped.load(Ordering::Relaxed) == 0 {
            let value = self.next.fetch_add(1, Ordering::Relaxed);
            let before = verb(&control, "status()").await;
            data.execute("INSERT INTO t VALUES ($1)", &[&value])
                .await
                .ok()?;
            let after = verb(&control, "status()").await;
            if before[2] != after[2] {
                return None;
            }
            let answer = verb(&control, &format!("wait({}, {}, 500)", after[2], after[4])).await;
            let reached = answer[1].parse::<u64>().unwrap() >= after[4].parse().unwrap();
            if answer[0] == after[2] && reached {
                self.confirmed.lock().unwrap().push(value);
            }
        }
        Some(())
    }

    fn count(&self) -> usize {
        self.confirmed.lock().unwrap().len()
    }
}

async fn values(address: SocketAddr) -> Vec<i64> {
    let client = connect(address, "proxy").await;
    let rows = client.query("SELECT a FROM t ORDER BY a", &[]).await;
    rows.map_or_else(
        |_| Vec::new(),
        |rows| rows.iter().map(|r| r.get(0)).collect(),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_of_primary_under_load_keep_confirmed_rows_and_equal_members() {
    let first = primary().await;
    let second = replica("m2", &first).await;
    let third = replica("m3", &first).await;
    let addresses = vec![first.sql, second.sql, third.sql];
    let setup = connect(first.sql, "proxy").await;
    setup
        .batch_execute("CREATE TABLE t (a BIGINT PRIMARY KEY)")
        .await
        .unwrap();
    let load = Arc::new(Load {
        addresses: addresses.clone(),
        primary: AtomicUsize::new(0),
        next: AtomicI64::new(0),
        confirmed: Mutex::default(),
        stopped: AtomicUsize::new(0),
    });
    let mut writers = tokio::task::JoinSet::new();
    for _ in 0..WRITERS {
        let load = Arc::clone(&load);
        writers.spawn(async move {
            while load.stopped.load(Ordering::Relaxed) == 0 {
                load.write().await;
                tokio::task::yield_now().await;
            }
        });
    }
    let mut control = Vec::new();
    for address in &addresses {
        control.push(connect(*address, "platform").await);
    }
    let mut term = 1;
    for change in 0..CHANGES {
        let target = load.count() + ROWS;
        eventually("rows are confirmed", async || load.count() >= target).await;
        // The old primary writes on, cut off from the others; it is told of the change last.
        term += 1;
        let old = load.primary.load(Ordering::Relaxed);
        let (one, two) = ((old + 1) % 3, (old + 2) % 3);
        let mut ends = Vec::new();
        for at in [one, two] {
            let row = verb(&control[at], &format!("fence({term}, 'c{change}')")).await;
            assert_eq!(row[0], "true");
            ends.push((
                row[2].parse::<u64>().unwrap(),
                row[3].parse::<u64>().unwrap(),
                at,
            ));
        }
        let (_, _, winner) = *ends.iter().max().unwrap();
        let written = load.next.load(Ordering::Relaxed);
        eventually("the old primary diverges", async || {
            load.next.load(Ordering::Relaxed) > written
        })
        .await;
        verb(&control[winner], &format!("promote({term}, 'c{change}')")).await;
        load.primary.store(winner, Ordering::Relaxed);
        for at in [one, two, old].into_iter().filter(|at| *at != winner) {
            let call = format!("follow({term}, 'c{change}', '{}')", addresses[winner]);
            assert_eq!(verb(&control[at], &call).await[0], "true");
        }
    }
    load.stopped.store(1, Ordering::Relaxed);
    while let Some(ended) = writers.join_next().await {
        ended.expect("a writer ran to its end");
    }
    let last = addresses[load.primary.load(Ordering::Relaxed)];
    let expected = values(last).await;
    for value in load.confirmed.lock().unwrap().iter() {
        assert!(expected.binary_search(value).is_ok(), "row {value} is lost");
    }
    for address in addresses {
        eventually("members are equal", async || {
            values(address).await == expected
        })
        .await;
    }
}
