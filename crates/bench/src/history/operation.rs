//! What an operation did.

use serde::Deserialize;
use serde::Serialize;

/// Number of a row that one operation of the history inserts. No two operations share one.
pub type RowId = u64;
/// Group of rows that a read selects; it belongs to one organisation.
pub type RowKey = u64;
/// Microseconds since the start of the history.
pub type Micros = u64;

/// What an operation did. The table has no unique constraint, so a statement that runs twice
/// leaves its row twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Operation {
    /// Inserted rows in one transaction.
    Write {
        key: RowKey,
        rows: Vec<RowId>,
        /// When COMMIT was sent, for an explicit transaction.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        commit: Option<Micros>,
    },
    /// Selected all rows of a key; `rows` is empty unless the outcome is `ran`.
    Read { key: RowKey, rows: Vec<RowId> },
    /// Selected all rows of the organisation in the database after the last write.
    Audit { rows: Vec<RowId> },
}
