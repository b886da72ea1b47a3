//! Guards against lost confirmed entries, two primaries in a term and wrong positions.

use tokio_postgres::Client;

use crate::support::connect;
use crate::support::count;
use crate::support::eventually;
use crate::support::primary;
use crate::support::replica;
use crate::support::start;
use crate::support::state;
use crate::support::verb;

/// Column numbers of platform_status.
const ROLE: usize = 1;
const TERM: usize = 2;
const LAST_TERM: usize = 3;
const RECEIVED: usize = 4;
const APPLIED: usize = 5;
const CONFIRMED: usize = 6;

async fn status(client: &Client) -> Vec<String> {
    verb(client, "status()").await
}

#[tokio::test]
async fn replica_receives_applies_and_confirms() {
    let first = primary().await;
    let second = replica("m2", &first).await;
    let data = connect(first.sql, "proxy").await;
    data.batch_execute("CREATE TABLE t (a INT, b TEXT)")
        .await
        .unwrap();
    data.execute("INSERT INTO t VALUES ($1, $2)", &[&1i32, &"x"])
        .await
        .unwrap();
    let control = connect(first.sql, "platform").await;
    let row = control
        .query_one(
            "SELECT * FROM platform_wait($1, $2, $3)",
            &[&1i64, &3i64, &5000i64],
        )
        .await
        .unwrap();
    assert_eq!((row.get::<_, &str>(0), row.get::<_, &str>(1)), ("1", "3"));
    let read = connect(second.sql, "proxy").await;
    eventually("row on the replica", async || {
        read.query("SELECT b FROM t", &[])
            .await
            .is_ok_and(|rows| rows.len() == 1)
    })
    .await;
    assert_eq!(
        state(read.batch_execute("INSERT INTO t VALUES (2, 'y')").await),
        "25006"
    );
}

#[tokio::test]
async fn lagging_replica_confirms_before_it_applies() {
    let first = primary().await;
    let second = replica("m2", &first).await;
    let control = connect(second.sql, "platform").await;
    eventually("first entry applied", async || {
        status(&control).await[APPLIED] == "1"
    })
    .await;
    verb(&control, "set_lag(600000)").await;
    let data = connect(first.sql, "proxy").await;
    data.batch_execute("CREATE TABLE t (a INT)").await.unwrap();
    let confirmed = connect(first.sql, "platform").await;
    assert_eq!(verb(&confirmed, "wait(1, 2, 5000)").await, ["1", "2"]);
    let now = status(&control).await;
    assert_eq!((now[RECEIVED].as_str(), now[APPLIED].as_str()), ("2", "1"));
    verb(&control, "set_lag(0)").await;
    eventually("applied", async || status(&control).await[APPLIED] == "2").await;
}

#[tokio::test]
async fn term_is_granted_once_and_stops_the_old_primary() {
    let first = primary().await;
    let control = connect(first.sql, "platform").await;
    let data = connect(first.sql, "proxy").await;
    let open = connect(first.sql, "proxy").await;
    data.batch_execute("CREATE TABLE t (a INT)").await.unwrap();
    open.batch_execute("BEGIN; INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    assert_eq!(
        verb(&control, "fence(2, 'a')").await,
        ["true", "2", "1", "2"]
    );
    assert_eq!(verb(&control, "fence(2, 'a')").await[0], "true");
    assert_eq!(verb(&control, "fence(2, 'b')").await[0], "false");
    assert_eq!(verb(&control, "fence(1, 'a')").await[0], "false");
    assert_eq!(verb(&control, "promote(2, 'b')").await[0], "false");
    assert_eq!(
        state(data.batch_execute("INSERT INTO t VALUES (2)").await),
        "25006"
    );
    eventually("open write transaction is ended", async || open.is_closed()).await;
    assert_eq!(verb(&control, "promote(2, 'a')").await, ["true", "2"]);
    assert_eq!(
        verb(&control, "follow(2, 'a', '127.0.0.1:1')").await,
        ["false"]
    );
    assert_eq!(count(&data, "t").await, 0);
}

#[tokio::test]
async fn diverged_entries_are_truncated_and_undone() {
    let first = primary().await;
    let second = replica("m2", &first).await;
    let third = replica("m3", &first).await;
    let data = connect(first.sql, "proxy").await;
    data.batch_execute("CREATE TABLE t (a INT)").await.unwrap();
    let one = connect(first.sql, "platform").await;
    let two = connect(second.sql, "platform").await;
    let three = connect(third.sql, "platform").await;
    eventually("both received", async || {
        status(&two).await[RECEIVED] == "2" && status(&three).await[RECEIVED] == "2"
    })
    .await;
    // The old primary is cut off: the others grant term 2 and it writes on alone.
    verb(&two, "fence(2, 'a')").await;
    verb(&three, "fence(2, 'a')").await;
    data.batch_execute("INSERT INTO t VALUES (1); INSERT INTO t VALUES (2)")
        .await
        .unwrap();
    assert_eq!(verb(&one, "wait(1, 3, 50)").await, ["1", "2"]);
    assert_eq!(verb(&two, "promote(2, 'a')").await, ["true", "2"]);
    let target = second.sql;
    assert_eq!(
        verb(&three, &format!("follow(2, 'a', '{target}')")).await,
        ["true"]
    );
    let fresh = connect(second.sql, "proxy").await;
    fresh
        .batch_execute("INSERT INTO t VALUES (7)")
        .await
        .unwrap();
    assert_eq!(verb(&two, "wait(2, 4, 5000)").await, ["2", "4"]);
    assert_eq!(
        verb(&one, &format!("follow(2, 'b', '{target}')")).await,
        ["true"]
    );
    eventually("old primary caught up", async || {
        status(&one).await[APPLIED] == "4"
    })
    .await;
    let rows = data.query("SELECT a FROM t", &[]).await.unwrap();
    assert_eq!(
        rows.iter().map(|r| r.get::<_, i32>(0)).collect::<Vec<_>>(),
        [7]
    );
    let now = status(&one).await;
    assert_eq!(
        [&*now[ROLE], &*now[TERM], &*now[LAST_TERM]],
        ["replica", "2", "2"]
    );
}

#[tokio::test]
async fn late_pull_of_a_fenced_replica_confirms_nothing() {
    let first = primary().await;
    let one = connect(first.sql, "platform").await;
    let data = connect(first.sql, "proxy").await;
    data.batch_execute("CREATE TABLE t (a INT)").await.unwrap();
    // A follower whose last entry is of another term holds something else at that position.
    let answer = verb(&one, "pull('m2', 1, 9, 2, 10)").await;
    assert_eq!(answer[0], "{\"diverged\":1}");
    assert_eq!(status(&one).await[CONFIRMED], "0");
    verb(&one, "fence(2, 'a')").await;
    let late = one
        .simple_query("SELECT * FROM platform_pull('m2', 1, 1, 2, 10)")
        .await;
    assert_eq!(state(late), "55000");
    assert_eq!(status(&one).await[CONFIRMED], "0");
}

/// An entry of an older term can still be replaced, even though two members hold it.
#[tokio::test]
async fn only_entries_of_the_own_term_confirm() {
    let first = primary().await;
    let data = connect(first.sql, "proxy").await;
    data.batch_execute("CREATE TABLE t (a INT)").await.unwrap();
    let one = connect(first.sql, "platform").await;
    verb(&one, "fence(2, 'a')").await;
    assert_eq!(verb(&one, "promote(2, 'a')").await, ["true", "2"]);
    verb(&one, "pull('m2', 2, 1, 2, 10)").await;
    assert_eq!(status(&one).await[CONFIRMED], "0");
    verb(&one, "pull('m2', 2, 2, 3, 10)").await;
    assert_eq!(status(&one).await[CONFIRMED], "3");
}

#[tokio::test]
async fn restarted_member_keeps_log_and_grants() {
    let dir = tempfile::tempdir().unwrap();
    let more = format!("\"data_dir\": \"{}\",", dir.path().display());
    let member = start("m1", "\"primary\"", &more).await;
    let data = connect(member.sql, "proxy").await;
    data.batch_execute("CREATE TABLE t (a INT); INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let control = connect(member.sql, "platform").await;
    verb(&control, "fence(5, 'a')").await;
    drop(member);
    let member = start("m1", "\"primary\"", &more).await;
    let control = connect(member.sql, "platform").await;
    assert_eq!(status(&control).await[1..6], ["fenced", "5", "1", "2", "2"]);
    assert_eq!(verb(&control, "fence(5, 'b')").await[0], "false");
    let data = connect(member.sql, "proxy").await;
    assert_eq!(count(&data, "t").await, 1);
}
