//! Guards against stand-in controls that do not act as the tests of the proxy assume.

use std::time::Duration;
use std::time::Instant;

use tokio::time::timeout;

use crate::support::connect;
use crate::support::primary;
use crate::support::start;
use crate::support::state;
use crate::support::try_connect;
use crate::support::verb;

#[tokio::test]
async fn connection_limit_covers_proxy_only() {
    let member = start("m1", "\"primary\"", "\"connections\": 2,").await;
    let before = Instant::now();
    let first = connect(member.sql, "proxy").await;
    assert!(
        before.elapsed() >= Duration::from_millis(12),
        "opening takes its time"
    );
    let _second = connect(member.sql, "proxy").await;
    assert_eq!(state(try_connect(member.sql, "proxy").await), "53300");
    connect(member.sql, "platform").await;
    drop(first);
    crate::support::eventually("place is given back", async || {
        try_connect(member.sql, "proxy").await.is_ok()
    })
    .await;
    assert_eq!(member.recording().peak, 2);
}

/// Guards against a wrong share of reads in the reports of the load tool.
#[tokio::test]
async fn reads_are_counted_by_table_without_a_recording() {
    let member = primary().await;
    let data = connect(member.sql, "proxy").await;
    let sql = "CREATE TABLE t (a INT); INSERT INTO t (a) VALUES (1); SELECT a FROM t; SELECT 1";
    data.simple_query(sql).await.unwrap();
    data.simple_query("select a from t where a = 2")
        .await
        .unwrap();
    assert!(data.simple_query("SELECT missing FROM t").await.is_err());
    let recording = member.recording();
    assert_eq!(
        recording.reads.into_iter().collect::<Vec<_>>(),
        [("t".to_owned(), 2)]
    );
    assert!(recording.statements.is_empty());
}

#[tokio::test]
async fn slots_limit_the_statements_that_run_at_once() {
    let member = start("m1", "\"primary\"", "\"connect_ms\": 0, \"slots\": 1,").await;
    let first = connect(member.sql, "proxy").await;
    let second = connect(member.sql, "proxy").await;
    let before = Instant::now();
    let sql = "SELECT pg_sleep(0.1)";
    let (one, two) = tokio::join!(first.simple_query(sql), second.simple_query(sql));
    one.unwrap();
    two.unwrap();
    assert!(before.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn frozen_member_accepts_bytes_and_answers_after_the_thaw() {
    let member = primary().await;
    let data = connect(member.sql, "proxy").await;
    let control = connect(member.control.unwrap(), "platform").await;
    verb(&control, "freeze(0)").await;
    let query = data.simple_query("SELECT 1");
    tokio::pin!(query);
    assert!(
        timeout(Duration::from_millis(50), &mut query)
            .await
            .is_err()
    );
    let fresh = try_connect(member.sql, "proxy");
    assert!(timeout(Duration::from_millis(50), fresh).await.is_err());
    verb(&control, "thaw()").await;
    query.await.unwrap();
}

#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let member = primary().await;
    let data = connect(member.sql, "proxy").await;
    let control = connect(member.sql, "platform").await;
    verb(&control, "silence()").await;
    let query = data.simple_query("SELECT 1");
    assert!(timeout(Duration::from_millis(50), query).await.is_err());
    let fresh = connect(member.sql, "proxy").await;
    fresh.simple_query("SELECT 1").await.unwrap();
    verb(&control, "status()").await;
}

#[tokio::test]
async fn recording_holds_statements_parameters_startups_and_passwords() {
    let more = "\"connect_ms\": 0, \"password\": \"secret\", \"record\": true,";
    let member = start("m1", "\"primary\"", more).await;
    let mut config = tokio_postgres::Config::new();
    config
        .host("127.0.0.1")
        .port(member.sql.port())
        .user("proxy");
    config.password("wrong").dbname("orders");
    assert_eq!(state(config.connect(tokio_postgres::NoTls).await), "28P01");
    config.password("secret");
    let (client, connection) = config.connect(tokio_postgres::NoTls).await.unwrap();
    tokio::spawn(connection);
    client
        .batch_execute("SET SESSION AUTHORIZATION 'acme'")
        .await
        .unwrap();
    client.query("SELECT $1::text", &[&"needle"]).await.unwrap();
    let recording = member.recording();
    let passwords: Vec<_> = recording
        .startups
        .iter()
        .map(|s| s.password.as_deref())
        .collect();
    assert_eq!(passwords, [Some("wrong"), Some("secret")]);
    assert_eq!(recording.startups[1].parameters["database"], "orders");
    let last = recording.statements.last().unwrap();
    assert_eq!(
        (last.organisation.as_str(), last.params.as_slice()),
        ("acme", &["needle".to_owned()][..])
    );
}
