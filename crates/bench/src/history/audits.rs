//! The audits of a history.

use std::collections::HashMap;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::OrganisationId;

use crate::history::operation::Micros;
use crate::history::operation::Operation;
use crate::history::operation::RowId;
use crate::history::outcome::Outcome;
use crate::history::record::Record;
use crate::history::rows;

type Seen = (Micros, HashMap<RowId, usize>);

/// Invocation time and rows of each audit, by organisation and database.
pub(super) struct Audits<'a>(HashMap<(&'a OrganisationId, &'a DatabaseId), Vec<Seen>>);

impl<'a> Audits<'a> {
    /// Collects the audits that ran.
    pub(super) fn collect(records: &'a [Record]) -> Self {
        let mut audits: HashMap<_, Vec<Seen>> = HashMap::new();
        for record in records.iter().filter(|r| r.outcome == Outcome::Ran) {
            if let Operation::Audit { rows } = &record.operation {
                audits
                    .entry((&record.organisation, &record.database))
                    .or_default()
                    .push((record.invoked, rows::count(rows)));
            }
        }
        Self(audits)
    }

    /// Whether the record's organisation and database were audited after it.
    pub(super) fn any_after(&self, record: &Record) -> bool {
        self.after(record).next().is_some()
    }

    /// Those of `ids` that an audit after the record does not show.
    pub(super) fn missing<'s>(
        &'s self,
        record: &'s Record,
        ids: &'s [RowId],
    ) -> impl Iterator<Item = RowId> + 's {
        let missing = |id: &RowId| self.after(record).any(|(_, seen)| !seen.contains_key(id));
        ids.iter().copied().filter(move |id| missing(id))
    }

    fn after<'s>(&'s self, record: &'s Record) -> impl Iterator<Item = &'s Seen> {
        let place = (&record.organisation, &record.database);
        let answered = record.answered;
        let audits = self.0.get(&place).into_iter().flatten();
        audits.filter(move |(at, _)| answered <= *at)
    }
}
