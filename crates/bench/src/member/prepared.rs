//! Prepared statements and portals.

use std::sync::Arc;

use tokio_postgres::types::Type;

use crate::member::datum::Datum;
use crate::member::outbox::Column;
use crate::member::outbox::Formats;
use crate::member::sql::Parsed;

/// A prepared statement.
#[derive(Debug)]
pub(crate) struct Prepared {
    pub(crate) parsed: Parsed,
    pub(crate) params: Vec<Type>,
    pub(crate) columns: Vec<Column>,
}

/// A bound statement.
#[derive(Debug)]
pub(crate) struct Portal {
    pub(crate) prepared: Arc<Prepared>,
    pub(crate) params: Vec<Datum>,
    pub(crate) formats: Formats,
    /// Rows not yet sent, after the first Execute message.
    pub(crate) pending: Option<Outcome>,
}

/// Result of a statement.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) columns: Vec<Column>,
    pub(crate) rows: std::collections::VecDeque<Vec<Datum>>,
    /// None for an empty query.
    pub(crate) tag: Option<String>,
}
