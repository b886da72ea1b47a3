//! Results of operations, from which reports are computed.

use std::time::Duration;

use crate::history::outcome::Outcome;
use crate::load::organisation::TRANSACTION_STATEMENTS;

/// Kind of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationKind {
    Read,
    Write,
    Transaction,
}

impl OperationKind {
    /// Number of INSERT or SELECT statements of one operation. These always count against a limit,
    /// while BEGIN and COMMIT may not.
    pub fn data_statements(self) -> u32 {
        match self {
            Self::Read | Self::Write => 1,
            Self::Transaction => 2,
        }
    }

    /// Number of statements of one operation, including BEGIN and COMMIT.
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
    /// SQLSTATE, or a fixed name for a failure without one.
    pub code: String,
    pub outcome: Outcome,
    /// Whether the daemon or endpoint answered with an error.
    pub refused: bool,
    /// Whether the attempt was inside the contract, counting the attempts sent before it.
    pub inside: bool,
}

/// Result of one operation. Times are relative to the start of the load.
#[derive(Debug, Clone)]
pub struct Sample {
    pub organisation: usize,
    pub database: usize,
    pub kind: OperationKind,
    /// When the operation was due. Latency is measured from here, so it includes the time that the
    /// operation queued for a free session.
    pub intended: Duration,
    pub answered: Duration,
    pub outcome: Outcome,
    /// Whether the last attempt succeeded.
    pub served: bool,
    /// Whether the operation was due inside the organisation's contract.
    pub inside: bool,
    pub statements: u32,
    pub failures: Vec<FailedAttempt>,
}
