//! Startup, keys, simple and extended queries.

use crate::support::World;
use crate::support::eventually;
use crate::support::not_run;
use crate::support::open;
use crate::support::refusal;
use crate::support::value;

#[tokio::test]
async fn writes_and_reads_pass_in_both_protocols() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client
        .batch_execute("INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    let changed = client
        .execute("INSERT INTO t VALUES ($1, $2)", &[&2, &"b"])
        .await
        .unwrap();
    assert_eq!(changed, 1);
    let rows = client
        .query("SELECT note FROM t ORDER BY id", &[])
        .await
        .unwrap();
    let notes: Vec<&str> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(notes, ["a", "b"]);
    assert_eq!(value(&client, "SELECT count(*) FROM t").await, "2");
}

#[tokio::test]
async fn transactions_commit_and_roll_back() {
    let world = World::start().await;
    let mut client = world.connect("ash").await;
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO t VALUES (1, 'a')", &[])
        .await
        .unwrap();
    transaction.rollback().await.unwrap();
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO t VALUES (2, 'b')", &[])
        .await
        .unwrap();
    transaction.commit().await.unwrap();
    assert_eq!(
        value(&client, "SELECT max(id) - count(*) FROM t").await,
        "1"
    );
}

#[tokio::test]
async fn wrong_or_missing_key_and_unknown_route_are_refused() {
    let world = World::start().await;
    let mut config = world.config("ash");
    config.password("wrong");
    assert_eq!(refusal(open(&config).await), not_run("28P01"));
    // Another organisation's key does not work either.
    config.password(&world.oak.key);
    assert_eq!(refusal(open(&config).await), not_run("28P01"));
    let mut config = world.config("ash");
    config.dbname("nowhere");
    assert_eq!(refusal(open(&config).await), not_run("3D000"));
    let mut config = tokio_postgres::Config::new();
    config
        .host("127.0.0.1")
        .port(world.daemon.sql.port())
        .user("anyone")
        .dbname("open");
    let client = open(&config).await.unwrap();
    assert_eq!(value(&client, "SELECT session_user").await, "ash");
}

#[tokio::test]
async fn no_member_sees_a_key_and_organisations_run_under_their_own_name() {
    let world = World::start().await;
    let ash = world.connect("ash").await;
    let oak = world.connect("oak").await;
    for _ in 0..5 {
        assert_eq!(value(&ash, "SELECT session_user").await, "ash");
        assert_eq!(value(&oak, "SELECT session_user").await, "oak");
        let row = ash.query_one("SELECT session_user", &[]).await.unwrap();
        assert_eq!(row.get::<_, &str>(0), "ash");
        let row = oak.query_one("SELECT session_user", &[]).await.unwrap();
        assert_eq!(row.get::<_, &str>(0), "oak");
    }
    for member in &world.members {
        let recording = serde_json::to_string(&member.recording()).unwrap();
        assert!(!recording.contains(&world.ash.key) && !recording.contains(&world.oak.key));
    }
}

#[tokio::test]
async fn withdrawn_key_ends_the_open_session() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    let other = magnoliahatch_client::keys::create();
    let contract = crate::support::contract(&other, 1000);
    world.put("contract", "ash", contract).await;
    eventually("the session ends", async || client.is_closed()).await;
    assert_eq!(refusal(open(&world.config("ash")).await), not_run("28P01"));
}
