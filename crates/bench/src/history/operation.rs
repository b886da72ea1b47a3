//! Operations of a history.

use serde::Deserialize;
use serde::Serialize;

/// Unique identifier of a row, which at most one operation of the history inserts.
pub type RowId = u64;
/// Key of a group of rows that a read selects. Each key belongs to one organisation.
pub type RowKey = u64;
/// Microseconds since the start of the history.
pub type Micros = u64;

/// What an operation did. The table has no unique constraint, so a statement that runs twice
/// inserts its row twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Operation {
    /// Inserted rows in one transaction.
    Write {
        key: RowKey,
        rows: Vec<RowId>,
        /// When COMMIT was sent; only for explicit transactions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        commit: Option<Micros>,
    },
    /// Selected all rows of a key; `rows` is empty unless the outcome is `ran`.
    Read { key: RowKey, rows: Vec<RowId> },
    /// Selected all rows of the organisation in the database, after the last write.
    Audit { rows: Vec<RowId> },
}
