//! Guards against transactions that mix, leak locks or misreport their end.

use std::time::Duration;

use tokio::time::timeout;
use tokio_postgres::IsolationLevel;

use crate::support::connect;
use crate::support::count;
use crate::support::primary;
use crate::support::state;

#[tokio::test]
async fn failed_transaction_refuses_statements_and_commit_rolls_back() {
    let member = primary().await;
    let client = connect(member.sql, "proxy").await;
    client
        .batch_execute("CREATE TABLE t (a INT)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    assert_eq!(state(client.simple_query("SELECT * FROM x").await), "42P01");
    assert_eq!(state(client.simple_query("SELECT 1").await), "25P02");
    assert_eq!(state(client.query("SELECT 1", &[]).await), "25P02");
    client.batch_execute("COMMIT").await.unwrap();
    assert_eq!(count(&client, "t").await, 0);
}

#[tokio::test]
async fn uncommitted_rows_are_invisible_to_others_and_writers_wait() {
    let member = primary().await;
    let mut first = connect(member.sql, "proxy").await;
    let second = connect(member.sql, "proxy").await;
    first.batch_execute("CREATE TABLE t (a INT)").await.unwrap();
    let transaction = first.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO t VALUES ($1)", &[&1i32])
        .await
        .unwrap();
    assert_eq!(count(&second, "t").await, 0);
    let write = second.execute("INSERT INTO t VALUES (2)", &[]);
    tokio::pin!(write);
    let early = timeout(Duration::from_millis(50), &mut write).await;
    assert!(
        early.is_err(),
        "a second writer does not wait for the first"
    );
    transaction.commit().await.unwrap();
    write.await.unwrap();
    assert_eq!(count(&second, "t").await, 2);
}

#[tokio::test]
async fn disconnected_writer_is_rolled_back() {
    let member = primary().await;
    let other = connect(member.sql, "proxy").await;
    other.batch_execute("CREATE TABLE t (a INT)").await.unwrap();
    let client = connect(member.sql, "proxy").await;
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    drop(client);
    other
        .batch_execute("INSERT INTO t VALUES (2)")
        .await
        .unwrap();
    assert_eq!(count(&other, "t").await, 1);
}

#[tokio::test]
async fn snapshot_transaction_reads_one_state_and_cannot_overwrite_a_newer_one() {
    let member = primary().await;
    let mut first = connect(member.sql, "proxy").await;
    let second = connect(member.sql, "proxy").await;
    first
        .batch_execute("CREATE TABLE t (a INT); INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let transaction = first
        .build_transaction()
        .isolation_level(IsolationLevel::RepeatableRead)
        .start()
        .await
        .unwrap();
    second.execute("UPDATE t SET a = 2", &[]).await.unwrap();
    let row = transaction.query_one("SELECT a FROM t", &[]).await.unwrap();
    assert_eq!(row.get::<_, i32>(0), 1);
    let result = transaction.execute("UPDATE t SET a = a + 1", &[]).await;
    assert_eq!(state(result), "40001");
}

#[tokio::test]
async fn savepoint_rollback_keeps_the_rest() {
    let member = primary().await;
    let client = connect(member.sql, "proxy").await;
    client
        .batch_execute("CREATE TABLE t (a INT PRIMARY KEY)")
        .await
        .unwrap();
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES (1); SAVEPOINT s")
        .await
        .unwrap();
    let duplicate = client.batch_execute("INSERT INTO t VALUES (1)").await;
    assert_eq!(state(duplicate), "23505");
    client
        .batch_execute("ROLLBACK TO SAVEPOINT s; INSERT INTO t VALUES (2); COMMIT")
        .await
        .unwrap();
    assert_eq!(count(&client, "t").await, 2);
}

#[tokio::test]
async fn statements_of_one_simple_query_commit_or_fail_together() {
    let member = primary().await;
    let client = connect(member.sql, "proxy").await;
    client
        .batch_execute("CREATE TABLE t (a INT PRIMARY KEY)")
        .await
        .unwrap();
    let both = client
        .batch_execute("INSERT INTO t VALUES (1); INSERT INTO t VALUES (1)")
        .await;
    assert_eq!(state(both), "23505");
    assert_eq!(count(&client, "t").await, 0);
}

#[tokio::test]
async fn cancel_request_interrupts_sleep_and_lock_wait() {
    let member = primary().await;
    let holder = connect(member.sql, "proxy").await;
    holder
        .batch_execute("CREATE TABLE t (a INT)")
        .await
        .unwrap();
    holder
        .batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let client = connect(member.sql, "proxy").await;
    let token = client.cancel_token();
    for sql in ["SELECT pg_sleep(30)", "INSERT INTO t VALUES (2)"] {
        let run = client.simple_query(sql);
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
        assert_eq!(state(result), "57014", "{sql}");
    }
    holder.batch_execute("COMMIT").await.unwrap();
    assert_eq!(count(&client, "t").await, 1);
}
