//! Result of one operation, for the report.

use std::time::Duration;

use crate::history::outcome::Outcome;
use crate::load::organisation::TRANSACTION_STATEMENTS;

/// OperationKind of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationKind {
    Read,
    Write,
    Transaction,
}

impl OperationKind {
    /// Inserts or selects of one operation. A limit certainly covers these, while BEGIN and COMMIT
    /// may be free.
    pub fn data_statements(self) -> u32 {
        match self {
            Self::Read | Self::Write => 1,
            Self::Transaction => 2,
        }
    }

    /// Statements of one operation.
    pub fn statements(self) -> u32 {
        match self {
            Self::Read | Self::Write => 1,
            Self::Transaction => TRANSACTION_STATEMENTS,
        }
    }
}

/// An attempt that failed.
#[derive(Debug, Clone)]
pub struct FailedAttempt {
    /// SQLSTATE, or a name for failures without one.
    pub code: String,
    pub outcome: Outcome,
    /// Whether the daemon or endpoint answered with an error.
    pub refused: bool,
    /// Whether all that the organisation had sent was inside its contract.
    pub inside: bool,
}

/// Result of one operation. Times are since the start of the load.
#[derive(Debug, Clone)]
pub struct Sample {
    pub organisation: usize,
    pub database: usize,
    pub kind: OperationKind,
    /// When the operation was due; waiting for a free session counts.
    pub intended: Duration,
    pub answered: Duration,
    pub outcome: Outcome,
    /// Whether the caller got what it asked for.
    pub served: bool,
    /// Whether the organisation's arrivals were inside its contract.
    pub inside: bool,
    pub statements: u32,
    pub failures: Vec<FailedAttempt>,
}
