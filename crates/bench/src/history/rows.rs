//! Index of the rows that the operations of a history insert.

use std::collections::HashMap;

use crate::history::operation::Micros;
use crate::history::operation::Operation;
use crate::history::operation::RowId;
use crate::history::operation::RowKey;
use crate::history::record::Record;

/// A row and the operation that inserts it.
#[derive(Debug, Clone, Copy)]
pub(super) struct InsertedRow<'a> {
    pub(super) record: &'a Record,
    pub(super) key: RowKey,
    /// All rows that the same transaction inserts, including this one.
    pub(super) transaction_rows: &'a [RowId],
    /// Earliest time at which the row may be visible.
    pub(super) visible_from: Micros,
}

/// Maps each row to the operation that inserts it.
pub(super) fn index_by_id(records: &[Record]) -> HashMap<RowId, InsertedRow<'_>> {
    let mut index = HashMap::new();
    for record in records {
        if let Operation::Write { key, rows, commit } = &record.operation {
            let row = InsertedRow {
                record,
                key: *key,
                transaction_rows: rows,
                visible_from: commit.unwrap_or(record.invoked),
            };
            index.extend(rows.iter().map(|id| (*id, row)));
        }
    }
    index
}

/// Counts how often each row occurs in a result.
pub(super) fn count_occurrences(rows: &[RowId]) -> HashMap<RowId, usize> {
    let mut counts = HashMap::new();
    for row in rows {
        *counts.entry(*row).or_default() += 1;
    }
    counts
}
