//! One statement on its way to a member.

use std::time::Duration;

use bytes::Bytes;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::position::LogPosition;
use serde::Deserialize;
use serde::Serialize;

use crate::model::statement::Access;

/// Values that a session has set, sorted by name.
pub type Values = Vec<(Bytes, Bytes)>;

/// How a job's data must be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Only the primary may run it.
    Primary,
    /// A member may run it whose log covers everything acknowledged `age` ago, and `own`.
    Bounded {
        age: Duration,
        own: Option<LogPosition>,
    },
}

/// Where and for whom a channel runs its statements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub service: String,
    pub member: MemberId,
    pub organisation: OrganisationId,
    pub consistency: Consistency,
    /// 0 is the most important.
    pub priority: u32,
    /// Whether the channel holds a transaction, and whether it is read-only.
    pub transaction: Option<bool>,
}

/// What a job runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    Read(Bytes),
    Write(Bytes),
    Execute {
        access: Access,
        shape: Bytes,
        arguments: Bytes,
    },
    Commit,
}

impl Work {
    /// Whether success of this work makes data durable at once if it runs outside a transaction.
    pub fn writes(&self) -> bool {
        match self {
            Self::Write(_) | Self::Commit => true,
            Self::Execute { access, .. } => *access == Access::Write,
            Self::Read(_) => false,
        }
    }
}

/// A statement with what its connection must hold before it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The client's request id, forwarded unchanged.
    pub id: Bytes,
    pub work: Work,
    pub values: Values,
    /// Time left from sending to the answer.
    pub timeout: Duration,
}
