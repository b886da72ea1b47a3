//! SQL statements of the load.
//!
//! The table has no unique constraint, so a statement that runs twice stores its row twice and the
//! audit finds the duplicate.

use crate::history::operation::RowId;
use crate::history::operation::RowKey;

/// Table that the load reads and writes.
pub const TABLE: &str = "bench_rows";

/// Statements that create the table and its index.
pub const CREATE_TABLE: [&str; 2] = [
    "CREATE TABLE IF NOT EXISTS bench_rows \
     (organisation TEXT NOT NULL, key BIGINT NOT NULL, id BIGINT NOT NULL)",
    "CREATE INDEX IF NOT EXISTS bench_rows_key ON bench_rows (key)",
];

/// Inserts one row.
pub fn insert(organisation: &str, key: RowKey, id: RowId) -> String {
    format!("INSERT INTO bench_rows (organisation, key, id) VALUES ('{organisation}', {key}, {id})")
}

/// Selects the rows of a key regardless of organisation, so that a read also shows rows that
/// belong to another organisation.
pub fn select(key: RowKey) -> String {
    format!("SELECT id FROM bench_rows WHERE key = {key}")
}

/// Selects all rows of an organisation.
pub fn audit(organisation: &str) -> String {
    format!("SELECT id FROM bench_rows WHERE organisation = '{organisation}'")
}

/// Sets the session token that an earlier connection received.
pub fn set_token(token: &str) -> String {
    format!("SET magnoliahatch.token = '{token}'")
}

/// Sets the request id of the next write, which makes it idempotent.
pub fn set_request_id(id: &str) -> String {
    format!("SET magnoliahatch.request_id = '{id}'")
}

/// Sets the maximum age of reads to 0, so that they go to the primary.
pub const SET_NO_AGE: &str = "SET magnoliahatch.max_age_ms = 0";
