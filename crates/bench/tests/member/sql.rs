//! Guards against types and errors that a PostgreSQL client cannot use.

use crate::support::connect;
use crate::support::primary;
use crate::support::state;

#[tokio::test]
async fn typed_parameters_and_results_round_trip_in_binary() {
    let member = primary().await;
    let client = connect(member.sql, "proxy").await;
    client
        .batch_execute(
            "CREATE TABLE t (a BIGINT PRIMARY KEY, b INT, c SMALLINT, d DOUBLE PRECISION,
             e BOOLEAN, f TEXT, g BYTEA)",
        )
        .await
        .unwrap();
    let insert = "INSERT INTO t (a, b, c, d, e, f, g) VALUES ($1, $2, $3, $4, $5, $6, $7)";
    let bytes: &[u8] = &[0, 255, 7];
    let changed = client
        .execute(
            insert,
            &[&1i64, &2i32, &3i16, &1.5f64, &true, &"it's", &bytes],
        )
        .await
        .unwrap();
    assert_eq!(changed, 1);
    let row = client
        .query_one(
            "SELECT *, count(*) AS n, d * 2, f || '!' FROM t WHERE a = $1",
            &[&1i64],
        )
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
    assert_eq!(row.get::<_, i32>("b"), 2);
    assert_eq!(row.get::<_, i16>("c"), 3);
    assert_eq!(row.get::<_, f64>("d"), 1.5);
    assert!(row.get::<_, bool>("e"));
    assert_eq!(row.get::<_, &str>("f"), "it's");
    assert_eq!(row.get::<_, &[u8]>("g"), bytes);
    let none: Option<i64> = None;
    let row = client
        .query_one(
            "SELECT count(*), sum(b), b + 1, 1 AS one, 'x', $1::int8, true, max(a), (a = 1) AS eq
             FROM t WHERE a IN ($2, $3) OR f = $4 LIMIT $5",
            &[&none, &1i64, &5i64, &"no", &3i64],
        )
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>("count"), 1);
    assert_eq!(row.get::<_, i64>(1), 2);
    assert_eq!(row.get::<_, i32>(2), 3);
    assert_eq!(row.get::<_, i32>("one"), 1);
    assert_eq!(row.get::<_, &str>(4), "x");
    assert_eq!(row.get::<_, Option<i64>>(5), None);
    assert!(row.get::<_, bool>(6));
    assert_eq!(row.get::<_, i64>(7), 1);
    assert!(row.get::<_, bool>("eq"));
}

#[tokio::test]
async fn updates_upserts_and_returning_have_usable_types() {
    let member = primary().await;
    let client = connect(member.sql, "proxy").await;
    client
        .batch_execute("CREATE TABLE acc (id INT PRIMARY KEY, v BIGINT NOT NULL); -- comment\n")
        .await
        .unwrap();
    let upsert = "INSERT INTO acc VALUES ($1, $2) ON CONFLICT (id) DO UPDATE SET v = acc.v + $2
                  RETURNING id, v";
    for expected in [5i64, 10] {
        let row = client.query_one(upsert, &[&1i32, &5i64]).await.unwrap();
        assert_eq!((row.get::<_, i32>(0), row.get::<_, i64>(1)), (1, expected));
    }
    let changed = client
        .execute(
            "UPDATE acc SET v = v - $1 WHERE id = $2 AND v BETWEEN $3 AND $4",
            &[&3i64, &1i32, &0i64, &100i64],
        )
        .await
        .unwrap();
    assert_eq!(changed, 1);
    let row = client
        .query_one("SELECT v FROM acc FOR UPDATE", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 7);
    assert_eq!(
        client
            .execute("DELETE FROM acc WHERE id = $1", &[&9i32])
            .await
            .unwrap(),
        0
    );
}

#[tokio::test]
async fn errors_carry_the_sqlstate_of_postgresql() {
    let member = primary().await;
    let client = connect(member.sql, "proxy").await;
    client
        .batch_execute(
            "CREATE TABLE t (a INT PRIMARY KEY CHECK (a > 0), b TEXT NOT NULL);
             INSERT INTO t VALUES (1, 'x')",
        )
        .await
        .unwrap();
    for (sql, expected) in [
        ("SELECT * FROM missing", "42P01"),
        ("SELECT missing FROM t", "42703"),
        ("SELEC 1", "42601"),
        ("SELECT FROM WHERE", "42601"),
        ("INSERT INTO t VALUES (1, 'y')", "23505"),
        ("INSERT INTO t VALUES (2, NULL)", "23502"),
        ("INSERT INTO t VALUES (-2, 'y')", "23514"),
        ("CREATE TABLE t (a INT)", "42P07"),
        ("SELECT missing(1)", "42883"),
        ("COPY t FROM STDIN", "0A000"),
        ("SHOW missing", "42704"),
        ("SELECT * FROM platform_status()", "42501"),
    ] {
        assert_eq!(state(client.simple_query(sql).await), expected, "{sql}");
        assert_eq!(
            state(client.query(sql, &[]).await),
            expected,
            "extended: {sql}"
        );
    }
}

#[tokio::test]
async fn set_session_authorization_and_variables_follow_the_transaction() {
    let member = primary().await;
    let client = connect(member.sql, "proxy").await;
    let user = async || -> String {
        let row = client.query_one("SELECT session_user", &[]).await.unwrap();
        row.get(0)
    };
    let shown = async || -> String { client.query_one("SHOW app.x", &[]).await.unwrap().get(0) };
    client
        .batch_execute("SET SESSION AUTHORIZATION 'acme'")
        .await
        .unwrap();
    assert_eq!(user().await, "acme");
    client
        .batch_execute("SET app.x = 'one'; BEGIN; SET app.x TO 'two'; ROLLBACK")
        .await
        .unwrap();
    assert_eq!(shown().await, "one");
    client
        .batch_execute("BEGIN; SET LOCAL app.x = 'three'; COMMIT")
        .await
        .unwrap();
    assert_eq!(shown().await, "one");
    client
        .batch_execute("RESET SESSION AUTHORIZATION")
        .await
        .unwrap();
    assert_eq!(user().await, "proxy");
}
