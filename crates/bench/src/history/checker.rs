//! Checks a history against the guarantees.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;

use crate::history::audits::Audits;
use crate::history::limit::Limit;
use crate::history::operation::Operation;
use crate::history::operation::RowId;
use crate::history::operation::RowKey;
use crate::history::outcome::Outcome;
use crate::history::record::Record;
use crate::history::record::SessionNumber;
use crate::history::rows;
use crate::history::rows::Row;
use crate::history::verdict::Verdict;
use crate::history::violation::Violation;
use crate::history::window;
use crate::history::window::Span;

/// Checks a history. Organisations without a limit are not checked for theirs.
pub fn check(records: &[Record], limits: &BTreeMap<OrganisationId, Limit>) -> Verdict {
    let rows = rows::index(records);
    let mut violations = Vec::new();
    for record in records.iter().filter(|r| r.outcome == Outcome::Ran) {
        match &record.operation {
            Operation::Read { key, rows: seen } => {
                check_answer(record, Some(*key), seen, &rows, &mut violations);
            }
            Operation::Audit { rows: seen } => {
                check_answer(record, None, seen, &rows, &mut violations);
            }
            Operation::Write { .. } => {}
        }
    }
    check_own_writes(records, &mut violations);
    check_lost(records, &mut violations);
    check_limits(records, limits, &mut violations);
    Verdict {
        records: records.len(),
        violations,
    }
}

/// Checks what one answer shows, whoever reads it.
fn check_answer(
    reader: &Record,
    key: Option<RowKey>,
    seen: &[RowId],
    rows: &HashMap<RowId, Row<'_>>,
    violations: &mut Vec<Violation>,
) {
    let at = reader.invoked;
    let counts = rows::count(seen);
    for (&id, &count) in &counts {
        if count > 1 {
            violations.push(Violation::DoubledWrite { row: id, count, at });
        }
        let foreign = Violation::ForeignRow {
            session: reader.session,
            key: key.unwrap_or_default(),
            row: id,
            at,
        };
        let Some(row) = rows.get(&id) else {
            violations.push(foreign);
            continue;
        };
        let writer = row.record;
        if writer.organisation != reader.organisation {
            violations.push(Violation::OrganisationMix {
                reader: reader.organisation.clone(),
                writer: writer.organisation.clone(),
                row: id,
                at,
            });
        } else if writer.database != reader.database || key.is_some_and(|key| key != row.key) {
            violations.push(foreign);
        }
        if writer.outcome == Outcome::NotRun {
            violations.push(Violation::WrongNotRun { row: id, at });
        }
        if reader.answered < row.visible {
            violations.push(Violation::Uncommitted { row: id, at });
        }
        if let Some(&missing) = row.together.iter().find(|id| !counts.contains_key(id)) {
            violations.push(Violation::PartialTransaction {
                row: id,
                missing,
                at,
            });
        }
    }
}

/// Each read of a session shows the rows that it had inserted before with outcome "ran".
fn check_own_writes(records: &[Record], violations: &mut Vec<Violation>) {
    let mut by_session: BTreeMap<SessionNumber, Vec<&Record>> = BTreeMap::new();
    for record in records.iter().filter(|r| r.outcome == Outcome::Ran) {
        by_session.entry(record.session).or_default().push(record);
    }
    for session in by_session.values_mut() {
        session.sort_by_key(|record| (record.invoked, record.answered));
        // By database and key: answer time and rows of each acknowledged write.
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
                    let seen = rows::count(seen);
                    let earlier = writes
                        .iter()
                        .filter(|(answer, _)| *answer <= record.invoked);
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

/// Each audit shows all rows that were acknowledged or read before it, and each database that
/// holds acknowledged rows of an organisation has an audit after the last of them.
fn check_lost(records: &[Record], violations: &mut Vec<Violation>) {
    let audits = Audits::collect(records);
    let mut unaudited = BTreeSet::new();
    for record in records.iter().filter(|r| r.outcome == Outcome::Ran) {
        match &record.operation {
            Operation::Write { rows, .. } => {
                if !audits.any_after(record) {
                    unaudited.insert((&record.organisation, &record.database));
                }
                let session = record.session;
                let lost = audits.missing(record, rows);
                violations.extend(lost.map(|row| Violation::LostWrite { session, row }));
            }
            // A row that was shown once may not disappear, even if its writer got no answer.
            Operation::Read { rows, .. } => {
                let at = record.invoked;
                let lost = audits.missing(record, rows);
                violations.extend(lost.map(|row| Violation::VanishedRow { row, at }));
            }
            Operation::Audit { .. } => {}
        }
    }
    let missing = unaudited.into_iter();
    violations.extend(missing.map(|(organisation, database)| Violation::NoAudit {
        organisation: organisation.clone(),
        database: database.clone(),
    }));
}

/// An operation of unknown outcome may not have run, so it is no proof of an excess.
fn check_limits(
    records: &[Record],
    limits: &BTreeMap<OrganisationId, Limit>,
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
        if let Some(worst) = window::worst(&spans, *limit) {
            violations.push(Violation::OverLimit {
                organisation: organisation.clone(),
                from: worst.from,
                window: Duration::from_micros(worst.to - worst.from),
                ran: worst.ran,
                allowed: worst.allowed,
            });
        }
    }
}
