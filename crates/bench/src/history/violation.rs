//! What a history proves to be wrong.

use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::OrganisationId;
use serde::Serialize;
use thiserror::Error;

use crate::history::operation::Micros;
use crate::history::operation::RowId;
use crate::history::operation::RowKey;
use crate::history::record::SessionNumber;

/// What a history proves to be wrong. `at` is the invocation of the read that shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Error)]
#[serde(tag = "violation", rename_all = "kebab-case")]
pub enum Violation {
    #[error("session {session} did not read its own row {row} at {at} us")]
    ReadYourWrites {
        session: SessionNumber,
        row: RowId,
        at: Micros,
    },
    #[error("acknowledged row {row} of session {session} is lost")]
    LostWrite { session: SessionNumber, row: RowId },
    #[error("row {row} was read at {at} us and is lost")]
    VanishedRow { row: RowId, at: Micros },
    #[error("row {row} was found {count} times at {at} us")]
    DoubledWrite {
        row: RowId,
        count: usize,
        at: Micros,
    },
    #[error("row {row} was found at {at} us although its outcome was \"not run\"")]
    WrongNotRun { row: RowId, at: Micros },
    #[error("organisation {reader} got row {row} of organisation {writer} at {at} us")]
    OrganisationMix {
        reader: OrganisationId,
        writer: OrganisationId,
        row: RowId,
        at: Micros,
    },
    #[error("session {session} got row {row}, which is not of key {key}, at {at} us")]
    ForeignRow {
        session: SessionNumber,
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
    #[error("no audit of organisation {organisation} in {database}: lost rows cannot be found")]
    NoAudit {
        organisation: OrganisationId,
        database: DatabaseId,
    },
}

impl Violation {
    /// Name of the kind, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::ReadYourWrites { .. } => "read-your-writes",
            Self::LostWrite { .. } => "lost-write",
            Self::VanishedRow { .. } => "vanished-row",
            Self::DoubledWrite { .. } => "doubled-write",
            Self::WrongNotRun { .. } => "wrong-not-run",
            Self::OrganisationMix { .. } => "organisation-mix",
            Self::ForeignRow { .. } => "foreign-row",
            Self::PartialTransaction { .. } => "partial-transaction",
            Self::Uncommitted { .. } => "uncommitted",
            Self::OverLimit { .. } => "over-limit",
            Self::NoAudit { .. } => "no-audit",
        }
    }
}
