//! The checker must find each kind of violation and must accept correct histories.

use std::collections::BTreeMap;

use magnoliahatch_bench::history::checker;
use magnoliahatch_bench::history::file;
use magnoliahatch_bench::history::file::HistoryWriter;
use magnoliahatch_bench::history::operation::Operation;
use magnoliahatch_bench::history::outcome::Outcome;
use magnoliahatch_bench::history::rate_limit::RateLimit;
use magnoliahatch_bench::history::record::Record;
use proptest::prelude::*;

const KEY: u64 = 7;

fn record(session: u64, operation: Operation, invoked: u64, outcome: Outcome) -> Record {
    Record {
        session,
        host: "host-a".to_owned(),
        organisation: "org-a".to_owned(),
        database: "db".to_owned(),
        operation,
        statements: 1,
        invoked,
        answered: invoked + 5,
        outcome,
    }
}

fn write(session: u64, rows: &[u64], invoked: u64, outcome: Outcome) -> Record {
    let operation = Operation::Write {
        key: KEY,
        rows: rows.to_vec(),
        commit: None,
    };
    record(session, operation, invoked, outcome)
}

fn read(session: u64, rows: &[u64], invoked: u64) -> Record {
    let operation = Operation::Read {
        key: KEY,
        rows: rows.to_vec(),
    };
    record(session, operation, invoked, Outcome::Ran)
}

fn audit(rows: &[u64]) -> Record {
    let operation = Operation::Audit {
        rows: rows.to_vec(),
    };
    record(0, operation, 1_000_000, Outcome::Ran)
}

/// Kinds of violations that the checker finds, without rate limits.
fn kinds(records: &[Record]) -> Vec<&'static str> {
    checker::check(records, &BTreeMap::new())
        .counts()
        .into_keys()
        .collect()
}

#[test]
fn correct_history_passes() {
    let records = [
        write(1, &[1], 0, Outcome::Ran),
        read(1, &[1], 10),
        read(2, &[], 10),
        write(1, &[2, 3], 20, Outcome::Ran),
        // Overlaps the write, so both states are correct.
        read(1, &[1], 22),
        write(2, &[4], 30, Outcome::NotRun),
        read(1, &[1, 2, 3], 40),
        audit(&[1, 2, 3]),
    ];
    assert_eq!(kinds(&records), Vec::<&str>::new());
}

#[test]
fn unknown_write_may_have_run_or_not() {
    for rows in [&[][..], &[1][..]] {
        let records = [
            write(1, &[1], 0, Outcome::Unknown),
            read(1, rows, 10),
            audit(rows),
        ];
        assert_eq!(kinds(&records), Vec::<&str>::new());
    }
    let late = [
        write(1, &[1], 0, Outcome::Unknown),
        read(1, &[], 10),
        audit(&[1]),
    ];
    assert_eq!(kinds(&late), Vec::<&str>::new());
}

#[test]
fn unknown_write_that_was_read_must_not_disappear() {
    let records = [
        write(1, &[1], 0, Outcome::Unknown),
        read(2, &[1], 10),
        audit(&[]),
    ];
    assert_eq!(kinds(&records), ["vanished-row"]);
}

#[test]
fn session_that_does_not_read_its_own_write_is_found() {
    let records = [
        write(1, &[1], 0, Outcome::Ran),
        read(1, &[], 10),
        audit(&[1]),
    ];
    assert_eq!(kinds(&records), ["read-your-writes"]);
}

#[test]
fn lost_acknowledged_write_is_found() {
    let records = [write(1, &[1], 0, Outcome::Ran), audit(&[])];
    assert_eq!(kinds(&records), ["lost-write"]);
}

#[test]
fn missing_audit_is_reported() {
    assert_eq!(kinds(&[write(1, &[1], 0, Outcome::Ran)]), ["no-audit"]);
    let mut early = audit(&[]);
    early.invoked = 0;
    assert_eq!(
        kinds(&[write(1, &[1], 10, Outcome::Ran), early]),
        ["no-audit"]
    );
}

#[test]
fn duplicate_row_is_found_for_any_outcome() {
    for outcome in [Outcome::Ran, Outcome::Unknown] {
        let records = [write(1, &[1], 0, outcome), audit(&[1, 1])];
        assert_eq!(kinds(&records), ["doubled-write"]);
    }
}

#[test]
fn visible_row_of_a_not_run_write_is_found() {
    let records = [write(1, &[1], 0, Outcome::NotRun), audit(&[1])];
    assert_eq!(kinds(&records), ["wrong-not-run"]);
}

#[test]
fn row_of_another_organisation_is_found() {
    let mut other = write(1, &[1], 0, Outcome::Ran);
    other.organisation = "org-b".to_owned();
    let mut other_audit = audit(&[1]);
    other_audit.organisation = "org-b".to_owned();
    let records = [other, read(2, &[1], 10), other_audit];
    assert_eq!(kinds(&records), ["organisation-mix"]);
}

#[test]
fn row_of_another_key_is_found() {
    let mut other = write(1, &[1], 0, Outcome::Ran);
    other.operation = Operation::Write {
        key: KEY + 1,
        rows: vec![1],
        commit: None,
    };
    let records = [other, read(2, &[1], 10), audit(&[1])];
    assert_eq!(kinds(&records), ["foreign-row"]);
    assert_eq!(kinds(&[read(2, &[99], 10)]), ["foreign-row"]);
}

#[test]
fn partly_visible_transaction_is_found() {
    let whole = [
        write(1, &[1, 2], 0, Outcome::Unknown),
        read(2, &[2, 1], 10),
        audit(&[1, 2]),
    ];
    assert_eq!(kinds(&whole), Vec::<&str>::new());
    let partial = [
        write(1, &[1, 2], 0, Outcome::Unknown),
        read(2, &[2], 10),
        audit(&[1, 2]),
    ];
    assert_eq!(kinds(&partial), ["partial-transaction"]);
}

#[test]
fn uncommitted_row_is_found() {
    let mut transaction = write(1, &[1], 0, Outcome::Ran);
    transaction.operation = Operation::Write {
        key: KEY,
        rows: vec![1],
        commit: Some(100),
    };
    transaction.answered = 110;
    let records = [transaction, read(2, &[1], 10), audit(&[1])];
    assert_eq!(kinds(&records), ["uncommitted"]);
}

fn limits(rate: f64, burst: f64) -> BTreeMap<String, RateLimit> {
    BTreeMap::from([("org-a".to_owned(), RateLimit { rate, burst })])
}

fn reads_at(times: impl IntoIterator<Item = u64>) -> Vec<Record> {
    times.into_iter().map(|at| read(1, &[], at)).collect()
}

#[test]
fn excess_in_a_short_window_of_a_long_history_is_found() {
    // 10/s on average over 10 s, but 15 within 14 ms in the middle.
    let mut times: Vec<u64> = (0..85).map(|n| n * 100_000).collect();
    times.extend((0..15).map(|n| 5_000_500 + n * 1000));
    let verdict = checker::check(&reads_at(times.clone()), &limits(10.0, 5.0));
    assert_eq!(
        verdict.counts().into_keys().collect::<Vec<_>>(),
        ["over-limit"]
    );
    assert!(checker::check(&reads_at(times), &limits(10.0, 16.0)).is_valid());
}

#[test]
fn statements_of_unknown_outcome_or_uncertain_time_do_not_prove_an_excess() {
    let mut records = reads_at((0..15).map(|n| n * 1000));
    for record in &mut records[..6] {
        record.outcome = Outcome::Unknown;
    }
    assert!(checker::check(&records, &limits(10.0, 9.0)).is_valid());
    let mut slow = reads_at((0..15).map(|n| n * 1000));
    for (n, record) in (0..).zip(&mut slow) {
        record.answered = 1_000_000 + n * 100_000;
    }
    assert!(checker::check(&slow, &limits(10.0, 5.0)).is_valid());
}

proptest! {
    /// Compares the segment tree search with a brute-force search of all windows.
    #[test]
    fn limit_check_matches_brute_force(
        spans in prop::collection::vec((0u64..2_000_000, 0u64..300_000, 1u32..4), 0..30),
        rate in 1u32..40,
        burst in 0u32..20,
    ) {
        let records: Vec<Record> = spans.iter().map(|&(from, length, statements)| {
            let mut record = read(1, &[], from);
            record.answered = from + length;
            record.statements = statements;
            record
        }).collect();
        let (rate, burst) = (f64::from(rate), f64::from(burst));
        let excess = records.iter().any(|a| records.iter().any(|b| {
            if a.invoked > b.answered {
                return false;
            }
            let inside = records
                .iter()
                .filter(|r| r.invoked >= a.invoked && r.answered <= b.answered);
            let ran: f64 = inside.map(|r| f64::from(r.statements)).sum();
            ran > rate * (b.answered - a.invoked) as f64 / 1e6 + burst + 1e-6
        }));
        prop_assert_eq!(checker::check(&records, &limits(rate, burst)).is_valid(), !excess);
    }
}

#[test]
fn file_returns_the_records_written() {
    let dir = tempfile::TempDir::new().unwrap();
    let path = dir.path().join("history.jsonl");
    let records = [
        write(1, &[1, 2], 0, Outcome::NotRun),
        read(1, &[], 10),
        audit(&[]),
    ];
    let mut writer = HistoryWriter::create(&path).unwrap();
    records
        .iter()
        .for_each(|record| writer.append(record).unwrap());
    writer.finish().unwrap();
    assert_eq!(file::read(&path).unwrap(), records);
    std::fs::write(&path, "{\"session\":1}\n").unwrap();
    assert!(
        file::read(&path)
            .unwrap_err()
            .to_string()
            .contains("history.jsonl:1")
    );
}
