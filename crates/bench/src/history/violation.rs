//! Violations of the guarantees.

use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::OrganisationId;
use serde::Serialize;
use thiserror::Error;

use crate::history::operation::Micros;
use crate::history::operation::RowId;
use crate::history::operation::RowKey;
use crate::history::record::SessionId;

/// A violation that a history proves. `at` is the invocation time of the read or audit that shows
/// it.
#[derive(Debug, Clone, PartialEq, Serialize, Error)]
#[serde(tag = "violation", rename_all = "kebab-case")]
pub enum Violation {
    #[error("session {session} read at {at} us without seeing its own row {row}")]
    ReadYourWrites {
        session: SessionId,
        row: RowId,
        at: Micros,
    },
    #[error("acknowledged row {row} of session {session} is lost")]
    LostWrite { session: SessionId, row: RowId },
    #[error("row {row} was read at {at} us and is lost")]
    VanishedRow { row: RowId, at: Micros },
    #[error("row {row} was returned {count} times at {at} us")]
    #[serde(rename = "doubled-write")]
    DuplicateRow {
        row: RowId,
        count: usize,
        at: Micros,
    },
    #[error("row {row} was returned at {at} us although its outcome was \"not run\"")]
    #[serde(rename = "wrong-not-run")]
    NotRunButVisible { row: RowId, at: Micros },
    #[error("organisation {reader} read row {row} of organisation {writer} at {at} us")]
    #[serde(rename = "organisation-mix")]
    CrossOrganisationRow {
        reader: OrganisationId,
        writer: OrganisationId,
        row: RowId,
        at: Micros,
    },
    #[error("session {session} read row {row}, which does not belong to key {key}, at {at} us")]
    ForeignRow {
        session: SessionId,
        key: RowKey,
        row: RowId,
        at: Micros,
    },
    #[error("part of a transaction was visible at {at} us: row {row} without row {missing}")]
    PartialTransaction {
        row: RowId,
        missing: RowId,
        at: Micros,
    },
    #[error("row {row} was visible at {at} us, before its commit was sent")]
    Uncommitted { row: RowId, at: Micros },
    #[error(
        "organisation {organisation} ran {ran} statements within {window:?} from {from} us; \
         its limit is {allowed:.1}"
    )]
    OverLimit {
        organisation: OrganisationId,
        from: Micros,
        window: Duration,
        ran: u64,
        allowed: f64,
    },
    #[error("no audit of organisation {organisation} in {database}: lost rows cannot be detected")]
    NoAudit {
        organisation: OrganisationId,
        database: DatabaseId,
    },
}

impl Violation {
    /// Name of the kind of violation, the same as in the serialised form.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ReadYourWrites { .. } => "read-your-writes",
            Self::LostWrite { .. } => "lost-write",
            Self::VanishedRow { .. } => "vanished-row",
            Self::DuplicateRow { .. } => "doubled-write",
            Self::NotRunButVisible { .. } => "wrong-not-run",
            Self::CrossOrganisationRow { .. } => "organisation-mix",
            Self::ForeignRow { .. } => "foreign-row",
            Self::PartialTransaction { .. } => "partial-transaction",
            Self::Uncommitted { .. } => "uncommitted",
            Self::OverLimit { .. } => "over-limit",
            Self::NoAudit { .. } => "no-audit",
        }
    }
}
