//! A statement to be run by a member.

use std::time::Duration;

use bytes::Bytes;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::RouteId;
use magnoliahatch_core::position::LogPosition;
use serde::Deserialize;
use serde::Serialize;

use crate::model::statement::Access;
use crate::model::statement_kind::StatementKind;

/// Settings of a session, sorted by name.
pub type Values = Vec<(Bytes, Bytes)>;

/// How current the data that a job sees must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Only the primary may run it.
    Primary,
    /// Any member whose log contains every commit acknowledged longer than `age` ago, and the
    /// session's own position `own`.
    Bounded {
        age: Duration,
        own: Option<LogPosition>,
    },
}

/// What a client opened its session with. It decides for which organisation its statements may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionKey {
    pub database: RouteId,
    /// Empty if the client sent none.
    pub key: String,
}

/// On which member and for which organisation a channel runs its statements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub service: String,
    pub member: MemberId,
    pub organisation: OrganisationId,
    pub session: SessionKey,
    pub consistency: Consistency,
    /// 0 is the highest priority.
    pub priority: u32,
    /// Whether the channel's transaction is read-only; `None` if it has no transaction.
    pub transaction: Option<bool>,
}

/// What a job runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    Read(Bytes),
    Write(Bytes),
    Execute {
        access: Access,
        template: Bytes,
        arguments: Bytes,
    },
    Commit,
}

impl Work {
    /// Returns whether success of this work outside a transaction means that data was committed.
    pub fn writes(&self) -> bool {
        match self {
            Self::Write(_) | Self::Commit => true,
            Self::Execute { access, .. } => *access == Access::Write,
            Self::Read(_) => false,
        }
    }

    pub fn kind(&self) -> StatementKind {
        match self {
            Self::Commit => StatementKind::Commit,
            _ if self.writes() => StatementKind::Write,
            _ => StatementKind::Read,
        }
    }
}

/// A statement with the session settings that its connection must have before it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The client's request id, forwarded unchanged.
    pub id: Bytes,
    pub work: Work,
    pub values: Values,
    /// Version of the configuration by which the client's host allowed the statement.
    pub version: u64,
    /// Remaining time from sending the job until its answer.
    pub timeout: Duration,
}
