//! Reads on replicas, tokens and confirmation.

use std::time::Duration;
use std::time::Instant;

use tokio_postgres::Client;
use tokio_postgres::SimpleQueryMessage;

use crate::support::World;
use crate::support::eventually;
use crate::support::not_run;
use crate::support::open;
use crate::support::refusal;
use crate::support::unknown;
use crate::support::value;

/// Statements that a member received on data connections and that contain a text.
fn received(world: &World, member: usize, text: &str) -> usize {
    let recording = world.members[member].recording();
    recording
        .statements
        .iter()
        .filter(|s| s.user == "proxy" && s.sql.contains(text))
        .count()
}

async fn insert(client: &Client, id: i32) {
    let sql = format!("INSERT INTO t VALUES ({id}, 'x')");
    client.batch_execute(&sql).await.unwrap();
}

#[tokio::test]
async fn reads_move_to_replicas_and_see_the_session_s_writes() {
    let world = World::with("\"lag_ms\": 30,", &serde_json::json!({})).await;
    let client = world.connect("ash").await;
    for id in 0..40 {
        insert(&client, id).await;
        let sql = format!("SELECT count(*) FROM t WHERE id <= {id}");
        assert_eq!(value(&client, &sql).await, (id + 1).to_string());
        // Once the replicas have applied the write, they serve its reads.
        if id % 10 == 0 {
            let mark = format!("SELECT id, {id} AS mark FROM t");
            eventually("a replica serves the read", async || {
                value(&client, &mark).await;
                received(&world, 1, &mark) + received(&world, 2, &mark) > 0
            })
            .await;
        }
    }
}

#[tokio::test]
async fn token_carries_the_position_to_another_session() {
    let world = World::with("\"lag_ms\": 150,", &serde_json::json!({})).await;
    let writer = world.connect("ash").await;
    for id in 0..5 {
        insert(&writer, id).await;
        let token = value(&writer, "SHOW magnoliahatch.token").await;
        let mut config = world.config("ash");
        config.options(format!("-c magnoliahatch.token={token}"));
        let reader = open(&config).await.unwrap();
        let expected = (id + 1).to_string();
        assert_eq!(value(&reader, "SELECT count(*) FROM t").await, expected);
        let late = world.connect("ash").await;
        let set = format!("SET magnoliahatch.token = '{token}'");
        late.execute(&set, &[]).await.unwrap();
        assert_eq!(value(&late, "SELECT count(*) FROM t").await, expected);
    }
}

#[tokio::test]
async fn forged_and_foreign_tokens_are_refused() {
    let world = World::start().await;
    let ash = world.connect("ash").await;
    insert(&ash, 1).await;
    let token = value(&ash, "SHOW magnoliahatch.token").await;
    let oak = world.connect("oak").await;
    let set = format!("SET magnoliahatch.token = '{token}'");
    assert_eq!(refusal(oak.simple_query(&set).await), not_run("22023"));
    let forged = format!("SET magnoliahatch.token = 'A{token}'");
    assert_eq!(refusal(ash.simple_query(&forged).await), not_run("22023"));
}

#[tokio::test]
async fn replica_that_falls_behind_the_accepted_age_serves_nothing() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    insert(&client, 1).await;
    for replica in [1, 2] {
        world.control(replica, "platform_set_lag(60000)").await;
    }
    // A write by another session is not visible on the replicas any more.
    let other = world.connect("ash").await;
    insert(&other, 2).await;
    // max_age_ms of the contract is 1000.
    let written = Instant::now();
    while written.elapsed() < Duration::from_millis(1000) {
        value(&client, "SELECT count(*) FROM t").await;
    }
    assert_eq!(value(&client, "SELECT count(*) FROM t").await, "2");
}

#[tokio::test]
async fn write_without_a_second_member_is_reported_as_unknown() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client
        .batch_execute("SET magnoliahatch.deadline_ms = 700")
        .await
        .unwrap();
    world.members[1].set_frozen(true);
    world.members[2].set_frozen(true);
    let result = client.simple_query("INSERT INTO t VALUES (1, 'a')").await;
    assert_eq!(refusal(result), unknown());
    // A read on the primary would show the write that may be lost.
    let result = client.simple_query("SELECT count(*) FROM t").await;
    assert_eq!(refusal(result), unknown());
    world.members[1].set_frozen(false);
    eventually("the write is confirmed", async || {
        let rows = client.simple_query("SELECT count(*) FROM t").await;
        rows.is_ok_and(|rows| {
            rows.iter()
                .any(|m| matches!(m, SimpleQueryMessage::Row(r) if r.get(0) == Some("1")))
        })
    })
    .await;
}

#[tokio::test]
async fn read_that_accepts_no_age_needs_a_second_member() {
    let world = World::start().await;
    let oak = world.connect("oak").await;
    oak.batch_execute("SET magnoliahatch.deadline_ms = 900")
        .await
        .unwrap();
    assert_eq!(value(&oak, "SELECT count(*) FROM t").await, "0");
    assert_eq!(received(&world, 1, "count"), 0);
    world.members[1].set_frozen(true);
    assert_eq!(value(&oak, "SELECT count(*) FROM t").await, "0");
    world.members[2].set_frozen(true);
    let result = oak.simple_query("SELECT count(*) FROM t").await;
    assert_eq!(refusal(result), unknown());
}

#[tokio::test]
async fn statements_wait_unsent_while_there_is_no_primary() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    insert(&client, 1).await;
    world.members[0].set_frozen(true);
    // The frozen primary is noticed by its probes; until then a statement may be sent to it. A
    // session without a token reads from the primary.
    let probe = world.connect("ash").await;
    probe
        .batch_execute("SET magnoliahatch.deadline_ms = 50")
        .await
        .unwrap();
    eventually("the primary is known to be gone", async || {
        refusal(probe.simple_query("SELECT 1").await) == not_run("57P03")
    })
    .await;
    client
        .batch_execute("SET magnoliahatch.deadline_ms = 300")
        .await
        .unwrap();
    let result = client.simple_query("INSERT INTO t VALUES (2, 'b')").await;
    assert_eq!(refusal(result), not_run("57P03"));
    client
        .batch_execute("SET magnoliahatch.deadline_ms = 5000")
        .await
        .unwrap();
    let (held, ()) = tokio::join!(
        client.simple_query("INSERT INTO t VALUES (3, 'c')"),
        async {
            world.members[0].set_frozen(false);
        }
    );
    held.unwrap();
    assert_eq!(value(&client, "SELECT sum(id) FROM t").await, "4");
}
