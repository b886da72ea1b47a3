//! Replacement of the primary while callers write and read.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio_postgres::Client;
use tokio_postgres::Config;

use crate::support::World;
use crate::support::eventually;
use crate::support::open;
use crate::support::refusal;
use crate::support::unknown;
use crate::support::value;

/// Makes m2 or m3 the primary, whichever has received more; m1 is not told, as if it were cut off
/// from the others. Returns the call by which a member follows the new primary.
async fn promote(world: &World) -> String {
    // A fenced member receives nothing of the old term, so the positions do not change any more.
    let mut received = Vec::new();
    for member in [1, 2] {
        let address = world.members[member].control.unwrap();
        let row = crate::support::row(address, "platform_fence(2, 'm2')").await;
        assert!(row[0].starts_with('t'), "{row:?}");
        let number = |at: usize| row[at].parse::<u64>().unwrap();
        received.push((number(2), number(3)));
    }
    let (first, second) = if received[1] > received[0] {
        (2, 1)
    } else {
        (1, 2)
    };
    let term = 1 + first;
    let name = format!("m{}", first + 1);
    if first == 2 {
        for member in [1, 2] {
            let fence = format!("platform_fence({term}, '{name}')");
            assert!(world.control(member, &fence).await.starts_with('t'));
        }
    }
    let promote = format!("platform_promote({term}, '{name}')");
    assert!(world.control(first, &promote).await.starts_with('t'));
    let address = world.members[first].sql;
    let follow = format!("platform_follow({term}, '{name}', '{address}')");
    world.control(second, &follow).await;
    follow
}

/// Writes until the daemon has found the new primary; before, a write may become unknown.
/// Inserts ids below zero until one is acknowledged: that id, and those of unknown outcome.
async fn insert_after_change(client: &Client) -> (String, Vec<String>) {
    let mut id = 0;
    let mut maybe = Vec::new();
    eventually("a write is acknowledged", async || {
        id -= 1;
        let sql = format!("INSERT INTO t VALUES ({id}, 'after')");
        let result = client.simple_query(&sql).await;
        let acknowledged = result.is_ok();
        if !acknowledged && refusal(result) == unknown() {
            maybe.push(id.to_string());
        }
        acknowledged
    })
    .await;
    (id.to_string(), maybe)
}

struct Tally {
    acknowledged: Vec<i32>,
    unknown: Vec<i32>,
    not_run: Vec<i32>,
}

/// Inserts ids until `stop`, each at most once.
async fn write(client: Client, first: i32, stop: Arc<AtomicBool>) -> Tally {
    let mut tally = Tally {
        acknowledged: Vec::new(),
        unknown: Vec::new(),
        not_run: Vec::new(),
    };
    for id in first.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let sql = format!("INSERT INTO t VALUES ({id}, 'x')");
        match client.simple_query(&sql).await {
            Ok(_) => tally.acknowledged.push(id),
            Err(error) => match refusal::<()>(Err(error)).1.as_str() {
                "outcome=unknown" => tally.unknown.push(id),
                "outcome=not_run" => tally.not_run.push(id),
                other => panic!("{id}: {other}"),
            },
        }
    }
    tally
}

#[tokio::test]
async fn acknowledged_writes_survive_and_refused_writes_did_not_run() {
    let world = World::start().await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut writers = Vec::new();
    for first in [0, 1_000_000, 2_000_000] {
        let client = world.connect("ash").await;
        writers.push(tokio::spawn(write(client, first, Arc::clone(&stop))));
    }
    let reader = world.connect("ash").await;
    eventually("writes are running", async || {
        value(&reader, "SELECT count(*) FROM t")
            .await
            .parse::<u32>()
            .unwrap()
            > 30
    })
    .await;
    promote(&world).await;
    let after = world.connect("ash").await;
    insert_after_change(&after).await;
    stop.store(true, Ordering::Relaxed);
    for writer in writers {
        let tally = writer.await.unwrap();
        assert!(!tally.acknowledged.is_empty());
        let late = after.query("SELECT id FROM t", &[]).await.unwrap();
        let rows: Vec<i32> = late.iter().map(|row| row.get(0)).collect();
        for id in &tally.acknowledged {
            assert!(rows.contains(id), "acknowledged write {id} is lost");
        }
        for id in &tally.not_run {
            assert!(
                !rows.contains(id),
                "write {id} ran, but was reported as not run"
            );
        }
        assert!(tally.unknown.len() <= 1, "{:?}", tally.unknown);
    }
}

#[tokio::test]
async fn writes_with_an_id_run_exactly_once_without_errors() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    let promotion = async {
        eventually("writes are running", async || {
            let recording = world.members[0].recording();
            recording
                .statements
                .iter()
                .filter(|s| s.sql.contains("VALUES ('w"))
                .count()
                > 10
        })
        .await;
        promote(&world).await;
    };
    let table = "CREATE TABLE w (note TEXT)";
    client.batch_execute(table).await.unwrap();
    let writes = async {
        for id in 0..60 {
            let set = format!("SET magnoliahatch.request_id = 'w{id}'");
            client.batch_execute(&set).await.unwrap();
            let sql = format!("INSERT INTO w VALUES ('w{id}')");
            client.batch_execute(&sql).await.unwrap();
        }
    };
    tokio::join!(writes, promotion);
    assert_eq!(value(&client, "SELECT count(*) FROM w").await, "60");
    assert_eq!(
        value(&client, "SELECT count(DISTINCT note) FROM w").await,
        "60"
    );
}

#[tokio::test]
async fn write_refused_by_a_deposed_primary_is_sent_to_the_new_one() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client
        .batch_execute("INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    // m1 follows the new primary before the daemon's next probe, so that it refuses writes with
    // 25006.
    let follow = promote(&world).await;
    world.control(0, &follow).await;
    client
        .batch_execute("INSERT INTO t VALUES (2, 'b')")
        .await
        .unwrap();
    assert_eq!(value(&client, "SELECT count(*) FROM t").await, "2");
}

#[tokio::test]
async fn old_primary_acknowledges_nothing_after_the_change() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    let limit = "SET magnoliahatch.deadline_ms = 4000";
    client.batch_execute(limit).await.unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    promote(&world).await;
    // The transaction is open on m1, which does not know of the change.
    assert_eq!(refusal(client.simple_query("COMMIT").await), unknown());
    client
        .batch_execute("INSERT INTO t VALUES (2, 'b')")
        .await
        .unwrap();
    assert_eq!(value(&client, "SELECT max(id) FROM t").await, "2");
    assert_eq!(value(&client, "SELECT count(*) FROM t").await, "1");
    // A read that accepts no age never comes from the old primary.
    let oak = world.connect("oak").await;
    assert_eq!(value(&oak, "SELECT max(id) FROM t").await, "2");
}

#[tokio::test]
async fn token_of_a_newer_term_is_not_served_by_a_daemon_that_knows_the_old_one() {
    let world = World::start().await;
    let other = crate::support::Daemon::start(world.path(), &world.store.url(), &"{}".into());
    let mut config: Config = world.config("ash");
    promote(&world).await;
    let writer = world.connect("ash").await;
    let (acknowledged, maybe) = insert_after_change(&writer).await;
    let token = value(&writer, "SHOW magnoliahatch.token").await;
    let port = other.sql.port();
    config = {
        let mut changed = Config::new();
        let password = config.get_password().unwrap().to_vec();
        changed
            .host("127.0.0.1")
            .port(port)
            .user("ash")
            .password(password)
            .dbname("hire");
        changed.options(format!("-c magnoliahatch.token={token}"));
        changed
    };
    let mut reader = None;
    eventually("the other daemon has its configuration", async || {
        reader = open(&config).await.ok();
        reader.is_some()
    })
    .await;
    // Under load the first insert may end with an unknown outcome, and then may have run.
    let rows = reader.unwrap().query("SELECT id::text FROM t", &[]).await;
    let ids: Vec<String> = rows.unwrap().iter().map(|row| row.get(0)).collect();
    assert!(ids.contains(&acknowledged), "{ids:?}");
    let others = ids.iter().filter(|id| **id != acknowledged);
    for id in others {
        assert!(maybe.contains(id), "{id} ran, but was reported as not run");
    }
}
