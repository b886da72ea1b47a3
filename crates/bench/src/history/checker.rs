//! Checks a history against the guarantees: read-your-writes, durability, atomicity, isolation of
//! organisations, and rate limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;

use crate::history::audits::Audits;
use crate::history::operation::Operation;
use crate::history::operation::RowId;
use crate::history::operation::RowKey;
use crate::history::outcome::Outcome;
use crate::history::rate_limit::RateLimit;
use crate::history::record::Record;
use crate::history::record::SessionId;
use crate::history::rows;
use crate::history::rows::InsertedRow;
use crate::history::verdict::Verdict;
use crate::history::violation::Violation;
use crate::history::window;
use crate::history::window::Span;

/// Checks a history and returns all violations found. The rate of an organisation that is not in
/// `limits` is not checked.
pub fn check(records: &[Record], limits: &BTreeMap<OrganisationId, RateLimit>) -> Verdict {
    let rows = rows::index_by_id(records);
    let mut violations = Vec::new();
    for record in records.iter().filter(|r| r.outcome == Outcome::Ran) {
        match &record.operation {
            Operation::Read { key, rows: seen } => {
                check_result(record, Some(*key), seen, &rows, &mut violations);
            }
            Operation::Audit { rows: seen } => {
                check_result(record, None, seen, &rows, &mut violations);
            }
            Operation::Write { .. } => {}
        }
    }
    check_read_your_writes(records, &mut violations);
    check_lost_rows(records, &mut violations);
    check_limits(records, limits, &mut violations);
    Verdict {
        records: records.len(),
        violations,
    }
}

/// Checks the rows that one read or audit returned, independently of the session that ran it.
/// `key` is the key that was read; an audit has none.
fn check_result(
    reader: &Record,
    key: Option<RowKey>,
    seen: &[RowId],
    rows: &HashMap<RowId, InsertedRow<'_>>,
    violations: &mut Vec<Violation>,
) {
    let at = reader.invoked;
    let counts = rows::count_occurrences(seen);
    for (&id, &count) in &counts {
        if count > 1 {
            violations.push(Violation::DuplicateRow { row: id, count, at });
        }
        let foreign_row = Violation::ForeignRow {
            session: reader.session,
            key: key.unwrap_or_default(),
            row: id,
            at,
        };
        let Some(row) = rows.get(&id) else {
            violations.push(foreign_row);
            continue;
        };
        let writer = row.record;
        if writer.organisation != reader.organisation {
            violations.push(Violation::CrossOrganisationRow {
                reader: reader.organisation.clone(),
                writer: writer.organisation.clone(),
                row: id,
                at,
            });
        } else if writer.database != reader.database || key.is_some_and(|key| key != row.key) {
            violations.push(foreign_row);
        }
        if writer.outcome == Outcome::NotRun {
            violations.push(Violation::NotRunButVisible { row: id, at });
        }
        if reader.answered < row.visible_from {
            violations.push(Violation::Uncommitted { row: id, at });
        }
        if let Some(&missing) = row
            .transaction_rows
            .iter()
            .find(|id| !counts.contains_key(id))
        {
            violations.push(Violation::PartialTransaction {
                row: id,
                missing,
                at,
            });
        }
    }
}

/// Checks that each read returns the rows that its own session inserted before it with outcome
/// "ran".
fn check_read_your_writes(records: &[Record], violations: &mut Vec<Violation>) {
    let mut by_session: BTreeMap<SessionId, Vec<&Record>> = BTreeMap::new();
    for record in records.iter().filter(|r| r.outcome == Outcome::Ran) {
        by_session.entry(record.session).or_default().push(record);
    }
    for session in by_session.values_mut() {
        session.sort_by_key(|record| (record.invoked, record.answered));
        // Time of the answer and rows of each acknowledged write, by database and key.
        let mut own: HashMap<_, Vec<(u64, &[RowId])>> = HashMap::new();
        for record in session {
            match &record.operation {
                Operation::Write { key, rows, .. } => own
                    .entry((&record.database, *key))
                    .or_default()
                    .push((record.answered, rows)),
                Operation::Read { key, rows: seen } => {
                    let Some(writes) = own.get(&(&record.database, *key)) else {
                        continue;
                    };
                    let seen = rows::count_occurrences(seen);
                    let earlier = writes
                        .iter()
                        .filter(|(answered, _)| *answered <= record.invoked);
                    let missing = earlier
                        .flat_map(|(_, rows)| rows.iter())
                        .filter(|row| !seen.contains_key(row));
                    violations.extend(missing.map(|row| Violation::ReadYourWrites {
                        session: record.session,
                        row: *row,
                        at: record.invoked,
                    }));
                }
                Operation::Audit { .. } => {}
            }
        }
    }
}

/// Checks that each audit returns all rows that were acknowledged or read before it, and that each
/// database with acknowledged rows of an organisation has an audit after the last of them.
fn check_lost_rows(records: &[Record], violations: &mut Vec<Violation>) {
    let audits = Audits::collect(records);
    let mut unaudited = BTreeSet::new();
    for record in records.iter().filter(|r| r.outcome == Outcome::Ran) {
        match &record.operation {
            Operation::Write { rows, .. } => {
                if !audits.has_audit_after(record) {
                    unaudited.insert((&record.organisation, &record.database));
                }
                let session = record.session;
                let lost = audits.missing_rows(record, rows);
                violations.extend(lost.map(|row| Violation::LostWrite { session, row }));
            }
            // A row that was returned once must not disappear, even if the outcome of its write is
            // unknown.
            Operation::Read { rows, .. } => {
                let at = record.invoked;
                let lost = audits.missing_rows(record, rows);
                violations.extend(lost.map(|row| Violation::VanishedRow { row, at }));
            }
            Operation::Audit { .. } => {}
        }
    }
    let unaudited = unaudited.into_iter();
    violations.extend(
        unaudited.map(|(organisation, database)| Violation::NoAudit {
            organisation: organisation.clone(),
            database: database.clone(),
        }),
    );
}

/// Checks the rate limits. An operation of unknown outcome may not have run, so it does not count
/// towards an excess.
fn check_limits(
    records: &[Record],
    limits: &BTreeMap<OrganisationId, RateLimit>,
    violations: &mut Vec<Violation>,
) {
    for (organisation, limit) in limits {
        let spans: Vec<Span> = records
            .iter()
            .filter(|r| r.outcome == Outcome::Ran && r.organisation == *organisation)
            .map(|r| Span {
                from: r.invoked,
                to: r.answered,
                statements: r.statements,
            })
            .collect();
        if let Some(excess) = window::max_excess(&spans, *limit) {
            violations.push(Violation::OverLimit {
                organisation: organisation.clone(),
                from: excess.from,
                window: Duration::from_micros(excess.to - excess.from),
                ran: excess.ran,
                allowed: excess.allowed,
            });
        }
    }
}
