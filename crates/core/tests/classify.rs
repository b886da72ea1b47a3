//! Guards against a statement with effects being classified as a read, which the proxy would send
//! to a replica or retry.

use magnoliahatch_core::classify::classify;
use magnoliahatch_core::statement_class::StatementClass;
use magnoliahatch_core::variable::SetVariable;
use proptest::prelude::*;

fn classify_single(sql: &str) -> StatementClass {
    let classes = classify(sql).unwrap_or_else(|error| panic!("{sql}: {error}"));
    assert_eq!(classes.len(), 1, "{sql}");
    classes.into_iter().next().expect("exactly one class")
}

#[test]
fn plain_reads_are_reads() {
    for sql in [
        "SELECT 1",
        "select a, count(*) from t where b in (1, 2) group by a having max(c) > 3",
        "WITH x AS (SELECT a FROM t) SELECT * FROM x JOIN y USING (a)",
        "VALUES (1), (2)",
        "SHOW timezone",
        "EXPLAIN SELECT * FROM t",
        "SELECT coalesce(lower(name), 'x') FROM t ORDER BY 1 LIMIT 3",
        "SELECT $1::int + 1 FROM t WHERE id = ANY($2)",
        "SELECT 'INSERT INTO t' /* DELETE */ FROM t -- UPDATE",
    ] {
        assert_eq!(classify_single(sql), StatementClass::Read, "{sql}");
    }
}

#[test]
fn statements_not_known_to_be_reads_are_writes() {
    for sql in [
        "INSERT INTO t VALUES (1)",
        "SELECT nextval('s')",
        "SELECT my_function(1)",
        "SELECT \"lower\"('x')",
        "SELECT myschema.lower('x')",
        "SELECT * FROM f()",
        "SELECT * FROM t FOR UPDATE",
        "SELECT * FROM t FOR SHARE SKIP LOCKED",
        "SELECT a INTO x FROM t",
        "WITH x AS (DELETE FROM t RETURNING a) SELECT * FROM x",
        "WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x",
        "EXPLAIN ANALYZE DELETE FROM t",
        "EXPLAIN ANALYZE SELECT f(1)",
        "SELECT pg_advisory_xact_lock(1)",
        "SELECT random()",
        "TRUNCATE t",
        "VACUUM t",
        "CREATE TABLE t (a INT)",
        "NOTIFY a",
    ] {
        assert_eq!(classify_single(sql), StatementClass::Write, "{sql}");
    }
}

#[test]
fn statements_that_leave_connection_state_are_refused() {
    for sql in [
        "COPY t FROM STDIN",
        "copy (select 1) to stdout",
        "LISTEN a",
        "UNLISTEN *",
        "CREATE TEMPORARY TABLE t (a INT)",
        "CREATE TEMP VIEW v AS SELECT 1",
        "SELECT 1 INTO TEMP x",
        "SELECT pg_try_advisory_lock(1)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "SET SESSION AUTHORIZATION x",
        "SET LOCAL ROLE x",
        "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
        "RESET ROLE",
        "SET role TO x",
        "SET \"session_authorization\" TO x",
        "SELECT set_config('a', 'b', false)",
        "DO $$ BEGIN END $$",
        "PREPARE TRANSACTION 'x'",
        "COMMIT PREPARED 'x'",
        "EXECUTE p",
        "CREATE OR REPLACE FUNCTION f() RETURNS INT AS 'x' LANGUAGE sql",
        "SET \"a; DROP TABLE t\" = 1",
        "frobnicate the database",
    ] {
        let class = classify_single(sql);
        assert!(
            matches!(class, StatementClass::Unsupported { .. }),
            "{sql}: {class:?}"
        );
    }
}

#[test]
fn transaction_control_is_recognised() {
    assert_eq!(
        classify_single("BEGIN"),
        StatementClass::Begin { read_only: false }
    );
    let read_only = "START TRANSACTION READ ONLY";
    assert_eq!(
        classify_single(read_only),
        StatementClass::Begin { read_only: true }
    );
    assert_eq!(classify_single("END"), StatementClass::Commit);
    assert_eq!(classify_single("commit work"), StatementClass::Commit);
    assert_eq!(classify_single("ABORT"), StatementClass::Rollback);
    assert_eq!(classify_single("ROLLBACK"), StatementClass::Rollback);
    assert_eq!(
        classify_single("SAVEPOINT a"),
        StatementClass::Savepoint("a".to_owned())
    );
    assert_eq!(
        classify_single("ROLLBACK TO SAVEPOINT a"),
        StatementClass::RollbackTo("a".to_owned())
    );
}

#[test]
fn variables_are_recognised() {
    let set = |name: &str, value: Option<&str>, local| {
        let (name, value) = (name.to_owned(), value.map(str::to_owned));
        StatementClass::Set(SetVariable { name, value, local })
    };
    assert_eq!(
        classify_single("SET x TO 'a''b'"),
        set("x", Some("'a''b'"), false)
    );
    assert_eq!(
        classify_single("SET LOCAL x = 1"),
        set("x", Some("1"), true)
    );
    assert_eq!(
        classify_single("SET search_path = a, b"),
        set("search_path", Some("a, b"), false)
    );
    assert_eq!(
        classify_single("SET TIME ZONE 'UTC'"),
        set("timezone", Some("'UTC'"), false)
    );
    assert_eq!(classify_single("SET x TO DEFAULT"), set("x", None, false));
    assert_eq!(classify_single("RESET x"), set("x", None, false));
    assert_eq!(classify_single("RESET ALL"), set("", None, false));
    let token = set("magnoliahatch.token", Some("'a.b'"), false);
    assert_eq!(classify_single("set Magnoliahatch.Token = 'a.b'"), token);
    assert_eq!(
        classify_single("SHOW magnoliahatch.token"),
        StatementClass::Show("magnoliahatch.token".to_owned())
    );
    assert_eq!(
        classify_single("DEALLOCATE ALL"),
        StatementClass::Deallocate(None)
    );
    assert_eq!(classify_single("DISCARD ALL"), StatementClass::DiscardAll);
}

#[test]
fn each_statement_of_a_text_is_classified() {
    let classes = classify("SELECT 1;; INSERT INTO t VALUES (';'); ").expect("classified");
    assert_eq!(classes, [StatementClass::Read, StatementClass::Write]);
    assert_eq!(classify(" ; -- nothing").expect("classified"), []);
    assert!(classify("SELECT 'open").is_err());
}

proptest! {
    /// A modifying keyword after a prefix that looks like a read must not be classified as a read.
    #[test]
    fn modifying_keywords_are_never_reads(
        command in prop::sample::select(vec!["INSERT", "update", "Delete", "MERGE", "truncate"]),
        before in "(SELECT|WITH|EXPLAIN|VALUES)( [a-z(),*]{1,8}){0,4} ",
        after in "( [a-z(),*]{1,8}){0,4}",
    ) {
        if let Ok(classes) = classify(&format!("{before}{command}{after}")) {
            prop_assert!(classes.iter().all(|class| *class != StatementClass::Read), "{classes:?}");
        }
    }

    #[test]
    fn arbitrary_text_does_not_panic(sql in "\\PC{0,80}") {
        let _ = classify(&sql);
    }
}
