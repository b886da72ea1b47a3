//! The rows that a history's operations insert.

use std::collections::HashMap;

use crate::history::operation::Micros;
use crate::history::operation::Operation;
use crate::history::operation::RowId;
use crate::history::operation::RowKey;
use crate::history::record::Record;

/// One row with the operation that inserts it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Row<'a> {
    pub(super) record: &'a Record,
    pub(super) key: RowKey,
    /// All rows of the same transaction.
    pub(super) together: &'a [RowId],
    /// Earliest time at which the row may be visible.
    pub(super) visible: Micros,
}

/// Maps each row to the operation that inserts it.
pub(super) fn index(records: &[Record]) -> HashMap<RowId, Row<'_>> {
    let mut index = HashMap::new();
    for record in records {
        if let Operation::Write { key, rows, commit } = &record.operation {
            let row = Row {
                record,
                key: *key,
                together: rows,
                visible: commit.unwrap_or(record.invoked),
            };
            index.extend(rows.iter().map(|id| (*id, row)));
        }
    }
    index
}

/// Distinct rows of an answer with how often each occurs.
pub(super) fn count(rows: &[RowId]) -> HashMap<RowId, usize> {
    let mut counts = HashMap::new();
    for row in rows {
        *counts.entry(*row).or_default() += 1;
    }
    counts
}
