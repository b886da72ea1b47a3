//! Separation of sessions that share connections.

use tokio_postgres::Client;
use tokio_postgres::Statement;

use crate::support::World;
use crate::support::eventually;
use crate::support::not_run;
use crate::support::refusal;
use crate::support::value;

#[tokio::test]
async fn variables_follow_their_session_and_reach_no_other() {
    let world = World::start().await;
    let first = world.connect("ash").await;
    let second = world.connect("ash").await;
    first.batch_execute("SET app.who = 'first'").await.unwrap();
    second
        .batch_execute("SET app.who = 'second'; SET app.more = 'x'")
        .await
        .unwrap();
    let third = world.connect("oak").await;
    for _ in 0..5 {
        assert_eq!(
            value(&first, "SELECT current_setting('app.who', true)").await,
            "first"
        );
        assert_eq!(
            value(&second, "SELECT current_setting('app.who', true)").await,
            "second"
        );
        assert_eq!(
            value(&first, "SELECT current_setting('app.more', true)").await,
            ""
        );
        assert_eq!(
            value(&third, "SELECT current_setting('app.who', true)").await,
            ""
        );
    }
    first.batch_execute("RESET app.who").await.unwrap();
    assert_eq!(
        value(&first, "SELECT current_setting('app.who', true)").await,
        ""
    );
}

#[tokio::test]
async fn variable_set_in_a_rolled_back_transaction_is_forgotten() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client.batch_execute("SET app.a = '1'").await.unwrap();
    client
        .batch_execute("BEGIN; SET app.a = '2'; ROLLBACK")
        .await
        .unwrap();
    assert_eq!(
        value(&client, "SELECT current_setting('app.a', true)").await,
        "1"
    );
    client
        .batch_execute("BEGIN; SET app.a = '3'; COMMIT")
        .await
        .unwrap();
    let other = world.connect("ash").await;
    assert_eq!(
        value(&other, "SELECT current_setting('app.a', true)").await,
        ""
    );
    assert_eq!(
        value(&client, "SELECT current_setting('app.a', true)").await,
        "3"
    );
}

#[tokio::test]
async fn prepared_statements_work_on_every_connection() {
    let world = World::start().await;
    let first = world.connect("ash").await;
    let second = world.connect("ash").await;
    let insert = first
        .prepare("INSERT INTO t VALUES ($1, $2)")
        .await
        .unwrap();
    let read = first
        .prepare("SELECT note FROM t WHERE id = $1")
        .await
        .unwrap();
    let same = second
        .prepare("SELECT note FROM t WHERE id = $1")
        .await
        .unwrap();
    for id in 0..10 {
        // An open transaction keeps one connection, so that others are opened or used.
        second.batch_execute("BEGIN").await.unwrap();
        first.execute(&insert, &[&id, &"x"]).await.unwrap();
        check(&first, &read, id).await;
        check(&second, &same, id).await;
        second.batch_execute("COMMIT").await.unwrap();
    }
    let failure = first.execute(&insert, &[&1, &"x"]).await;
    assert_eq!(failure.unwrap_err().code().unwrap().code(), "23505");
    check(&first, &read, 1).await;
}

async fn check(client: &Client, statement: &Statement, id: i32) {
    let row = client.query_one(statement, &[&id]).await.unwrap();
    assert_eq!(row.get::<_, &str>(0), "x");
}

#[tokio::test]
async fn unsupported_statements_are_refused_and_the_session_goes_on() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    for sql in [
        "COPY t TO STDOUT",
        "LISTEN a",
        "CREATE TEMP TABLE x (a INT)",
        "SELECT pg_advisory_lock(1)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "SET ROLE oak",
        "SET SESSION AUTHORIZATION oak",
        "RESET SESSION AUTHORIZATION",
        "SET session_authorization = 'oak'",
        "SELECT set_config('role', 'oak', false)",
        "DO $$ BEGIN END $$",
        "PREPARE p AS SELECT 1",
    ] {
        assert_eq!(
            refusal(client.simple_query(sql).await),
            not_run("0A000"),
            "{sql}"
        );
        assert_eq!(
            refusal(client.prepare(sql).await),
            not_run("0A000"),
            "{sql}"
        );
    }
    assert_eq!(
        refusal(client.simple_query("SELECT 'x").await),
        not_run("42601")
    );
    assert_eq!(value(&client, "SELECT session_user").await, "ash");
}

#[tokio::test]
async fn refusal_inside_a_transaction_aborts_it() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    assert_eq!(
        refusal(client.simple_query("LISTEN a").await),
        not_run("0A000")
    );
    let next = client.simple_query("INSERT INTO t VALUES (2, 'b')").await;
    assert_eq!(refusal(next), not_run("25P02"));
    // COMMIT of an aborted transaction rolls back.
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(value(&client, "SELECT count(*) FROM t").await, "0");
}

#[tokio::test]
async fn idle_transaction_is_rolled_back_and_frees_its_connection() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    eventually("the transaction is rolled back", async || {
        let recording = world.members[0].recording();
        recording.statements.iter().any(|s| s.sql == "ROLLBACK")
    })
    .await;
    let next = client.simple_query("INSERT INTO t VALUES (2, 'b')").await;
    assert_eq!(refusal(next), not_run("25P03"));
    client.batch_execute("ROLLBACK").await.unwrap();
    assert_eq!(value(&client, "SELECT count(*) FROM t").await, "0");
}

#[tokio::test]
async fn own_variables_work_in_the_extended_protocol() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client
        .execute("SET magnoliahatch.max_age_ms = 5", &[])
        .await
        .unwrap();
    let row = client
        .query_one("SHOW magnoliahatch.max_age_ms", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, &str>(0), "5");
    let bad = client
        .execute("SET magnoliahatch.max_age_ms = 'x'", &[])
        .await;
    assert_eq!(refusal(bad), not_run("22023"));
    client.batch_execute("DISCARD ALL").await.unwrap();
    assert_eq!(
        value(&client, "SHOW magnoliahatch.max_age_ms").await,
        "1000"
    );
}
