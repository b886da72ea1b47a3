//! The statements of the load.
//!
//! The table has no unique constraint, so that a statement that runs twice leaves its row twice.

use crate::history::operation::RowId;
use crate::history::operation::RowKey;

/// The table of the load.
pub const TABLE: &str = "bench_rows";

/// Statements that create the table.
pub const CREATE: [&str; 2] = [
    "CREATE TABLE IF NOT EXISTS bench_rows \
     (organisation TEXT NOT NULL, key BIGINT NOT NULL, id BIGINT NOT NULL)",
    "CREATE INDEX IF NOT EXISTS bench_rows_key ON bench_rows (key)",
];

/// Inserts one row.
pub fn insert(organisation: &str, key: RowKey, id: RowId) -> String {
    format!("INSERT INTO bench_rows (organisation, key, id) VALUES ('{organisation}', {key}, {id})")
}

/// Selects the rows of a key, of whichever organisation.
pub fn select(key: RowKey) -> String {
    format!("SELECT id FROM bench_rows WHERE key = {key}")
}

/// Selects all rows of an organisation.
pub fn audit(organisation: &str) -> String {
    format!("SELECT id FROM bench_rows WHERE organisation = '{organisation}'")
}

/// Presents the token of an earlier connection.
pub fn set_token(token: &str) -> String {
    format!("SET magnoliahatch.token = '{token}'")
}

/// Makes the next write idempotent.
pub fn set_request_id(id: &str) -> String {
    format!("SET magnoliahatch.request_id = '{id}'")
}

/// Accepts no age, so that reads go to the primary.
pub const SET_NO_AGE: &str = "SET magnoliahatch.max_age_ms = 0";
