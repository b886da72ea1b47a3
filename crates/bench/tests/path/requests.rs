//! Request ids, and answers that are lost.

use std::time::Duration;

use tokio_postgres::SimpleQueryMessage;

use crate::support::World;
use crate::support::not_run;
use crate::support::refusal;
use crate::support::unknown;
use crate::support::value;

fn ran(code: &str) -> (String, String) {
    (code.to_owned(), "outcome=ran".to_owned())
}

#[tokio::test]
async fn repeated_request_runs_once_and_gets_the_first_answer() {
    let world = World::start().await;
    for round in 0..3 {
        let client = world.connect("ash").await;
        client
            .batch_execute("SET magnoliahatch.request_id = 'r1'")
            .await
            .unwrap();
        let changed = client
            .execute("INSERT INTO t VALUES ($1, $2)", &[&round, &"x"])
            .await;
        assert_eq!(changed.unwrap(), 1);
        client
            .batch_execute("SET magnoliahatch.request_id = 'r2'")
            .await
            .unwrap();
        let sql = format!("INSERT INTO t VALUES ({}, 'y') RETURNING id", 10 + round);
        let answer = client.simple_query(&sql).await.unwrap();
        let row = answer.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0),
            _ => None,
        });
        assert_eq!(row, Some("10"), "the answer of the first run");
        assert_eq!(value(&client, "SELECT count(*) FROM t").await, "2");
    }
    // Ids of other organisations are separate.
    let oak = world.connect("oak").await;
    oak.batch_execute("SET magnoliahatch.request_id = 'r1'")
        .await
        .unwrap();
    oak.batch_execute("INSERT INTO t VALUES (20, 'z')")
        .await
        .unwrap();
    assert_eq!(value(&oak, "SELECT count(*) FROM t").await, "3");
}

#[tokio::test]
async fn id_of_a_failed_request_may_be_used_again() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client
        .batch_execute("INSERT INTO t VALUES (1, 'x')")
        .await
        .unwrap();
    client
        .batch_execute("SET magnoliahatch.request_id = 'r1'")
        .await
        .unwrap();
    let failed = client.batch_execute("INSERT INTO t VALUES (1, 'y')").await;
    assert_eq!(failed.unwrap_err().code().unwrap().code(), "23505");
    client
        .batch_execute("SET magnoliahatch.request_id = 'r1'")
        .await
        .unwrap();
    client
        .batch_execute("INSERT INTO t VALUES (2, 'y')")
        .await
        .unwrap();
    assert_eq!(value(&client, "SELECT count(*) FROM t").await, "2");
}

#[tokio::test]
async fn repeated_transaction_is_rolled_back_and_reported_as_run() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    client
        .batch_execute("SET magnoliahatch.request_id = 'first'")
        .await
        .unwrap();
    client
        .batch_execute("INSERT INTO t VALUES (9, 'x')")
        .await
        .unwrap();
    for round in 0..2 {
        client
            .batch_execute("SET magnoliahatch.request_id = 'r1'")
            .await
            .unwrap();
        let insert = format!("BEGIN; INSERT INTO t VALUES ({round}, 'x')");
        client.batch_execute(&insert).await.unwrap();
        let commit = client.simple_query("COMMIT").await;
        if round == 0 {
            commit.unwrap();
        } else {
            assert_eq!(refusal(commit), ran("23505"));
        }
        assert_eq!(value(&client, "SELECT count(*) FROM t").await, "2");
    }
}

#[tokio::test]
async fn lost_connection_is_reported_by_what_was_sent() {
    let mut world = World::start().await;
    let plain = world.connect("ash").await;
    let inside = world.connect("ash").await;
    let committing = world.connect("ash").await;
    inside
        .batch_execute("BEGIN; SELECT count(*) FROM t")
        .await
        .unwrap();
    committing
        .batch_execute("BEGIN; INSERT INTO t VALUES (2, 'b')")
        .await
        .unwrap();
    for client in [&plain, &inside, &committing] {
        client
            .batch_execute("SET magnoliahatch.deadline_ms = 3000")
            .await
            .unwrap();
    }
    // Leaves a connection on which the write is sent at once.
    value(&plain, "SELECT 1").await;
    world.members[0].set_frozen(true);
    let (write, statement, commit, ()) = tokio::join!(
        plain.simple_query("INSERT INTO t VALUES (3, 'c')"),
        inside.simple_query("SELECT count(*) FROM t"),
        committing.simple_query("COMMIT"),
        async {
            // Long enough for the statements to be sent; the outcomes do not depend on it.
            tokio::task::yield_now().await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            drop(world.members.remove(0));
        }
    );
    assert_eq!(refusal(write), unknown());
    assert_eq!(refusal(statement), not_run("40001"));
    assert_eq!(refusal(commit), unknown());
    // The lost transaction has to be ended by its caller.
    let next = inside.simple_query("SELECT 1").await;
    assert_eq!(refusal(next), not_run("25P02"));
    inside.batch_execute("ROLLBACK").await.unwrap();
}

#[tokio::test]
async fn cancel_reaches_the_statement_and_no_other() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    let token = client.cancel_token();
    let run = client.simple_query("SELECT pg_sleep(30)");
    tokio::pin!(run);
    // A cancel request that precedes the statement is ignored, so it is repeated.
    let result = loop {
        tokio::select! {
            result = &mut run => break result,
            () = tokio::time::sleep(Duration::from_millis(10)) => {
                token.cancel_query(tokio_postgres::NoTls).await.unwrap();
            }
        }
    };
    assert_eq!(result.unwrap_err().code().unwrap().code(), "57014");
    // A cancel request between statements meets nothing.
    client
        .cancel_token()
        .cancel_query(tokio_postgres::NoTls)
        .await
        .unwrap();
    assert_eq!(value(&client, "SELECT 1").await, "1");
}

#[tokio::test]
async fn silent_connections_are_retired_while_new_ones_work() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    let other = world.connect("ash").await;
    other.batch_execute("BEGIN").await.unwrap();
    client
        .batch_execute("INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    other.batch_execute("COMMIT").await.unwrap();
    client
        .batch_execute("SET magnoliahatch.deadline_ms = 600")
        .await
        .unwrap();
    world.control(0, "platform_silence()").await;
    // Only the statement that met a silent connection may fail, and says that its outcome is
    // not known; no answer may be wrong.
    let mut failures = 0;
    for id in 2..20 {
        let sql = format!("INSERT INTO t VALUES ({id}, 'a')");
        if let Err(error) = client.simple_query(&sql).await {
            assert_eq!(refusal::<()>(Err(error)), unknown());
            failures += 1;
        }
    }
    assert!(failures <= 2, "{failures} statements failed");
    let count: usize = value(&client, "SELECT count(*) FROM t")
        .await
        .parse()
        .unwrap();
    assert!(
        (19 - failures..=19).contains(&count),
        "{count} rows, {failures} failures"
    );
}
