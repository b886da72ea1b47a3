//! Index of the audits of a history.

use std::collections::HashMap;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::OrganisationId;

use crate::history::operation::Micros;
use crate::history::operation::Operation;
use crate::history::operation::RowId;
use crate::history::outcome::Outcome;
use crate::history::record::Record;
use crate::history::rows;

/// Invocation time of an audit, and how often it returned each row.
type AuditedRows = (Micros, HashMap<RowId, usize>);

/// Audits by organisation and database.
pub(super) struct Audits<'a>(HashMap<(&'a OrganisationId, &'a DatabaseId), Vec<AuditedRows>>);

impl<'a> Audits<'a> {
    /// Collects the audits with outcome "ran".
    pub(super) fn collect(records: &'a [Record]) -> Self {
        let mut audits: HashMap<_, Vec<AuditedRows>> = HashMap::new();
        for record in records.iter().filter(|r| r.outcome == Outcome::Ran) {
            if let Operation::Audit { rows } = &record.operation {
                audits
                    .entry((&record.organisation, &record.database))
                    .or_default()
                    .push((record.invoked, rows::count_occurrences(rows)));
            }
        }
        Self(audits)
    }

    /// Whether an audit of the record's organisation and database was invoked after its answer.
    pub(super) fn has_audit_after(&self, record: &Record) -> bool {
        self.after(record).next().is_some()
    }

    /// Returns those of `ids` that are missing from at least one audit after the record.
    pub(super) fn missing_rows<'s>(
        &'s self,
        record: &'s Record,
        ids: &'s [RowId],
    ) -> impl Iterator<Item = RowId> + 's {
        let missing = |id: &RowId| self.after(record).any(|(_, rows)| !rows.contains_key(id));
        ids.iter().copied().filter(move |id| missing(id))
    }

    fn after<'s>(&'s self, record: &'s Record) -> impl Iterator<Item = &'s AuditedRows> {
        let key = (&record.organisation, &record.database);
        let answered = record.answered;
        let audits = self.0.get(&key).into_iter().flatten();
        audits.filter(move |(invoked, _)| answered <= *invoked)
    }
}
