//! Faults that a scenario injects at given times.

use std::time::Duration;

use magnoliahatch_client::objects::placement::Placement;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::api::LinkChange;
use crate::store::fault::Fault;

/// A fault and when it is injected.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// Time since the start of the load.
    pub at_ms: u64,
    pub action: FaultAction,
}

/// A fault. Processes are named by their host or member.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultAction {
    /// Kills the member that is the primary at that time.
    KillPrimary {
        database: String,
    },
    /// Suspends the primary.
    PausePrimary {
        database: String,
        for_ms: u64,
    },
    /// Cuts the primary off from daemons and members.
    CutPrimary {
        database: String,
        for_ms: u64,
    },
    Kill {
        process: String,
    },
    /// Starts a process again that has ended.
    Restart {
        process: String,
    },
    /// Asks for a graceful shutdown.
    Stop {
        process: String,
    },
    Pause {
        process: String,
        for_ms: u64,
    },
    /// Changes a link of the fault proxy.
    Link {
        link: String,
        change: LinkChange,
    },
    /// Changes the fault of the store stand-in.
    Store {
        fault: Fault,
    },
    /// Orders a planned change of primary.
    Switchover {
        database: String,
    },
    /// Waits until `GET /status` of the last host reports that nothing is left of a subject.
    AwaitDrained {
        subject: String,
    },
    /// Counts the statements of callers' connections that a member receives in a time.
    CountWork {
        member: String,
        for_ms: u64,
    },
    /// Takes a host, endpoint or data centre out of service, or in.
    Placement {
        subject: String,
        state: Placement,
    },
}

impl FaultAction {
    /// Database whose primary the fault takes away or changes.
    pub fn affected_database(&self) -> Option<&str> {
        match self {
            Self::KillPrimary { database }
            | Self::PausePrimary { database, .. }
            | Self::CutPrimary { database, .. }
            | Self::Switchover { database } => Some(database),
            _ => None,
        }
    }
}

/// A fault that was injected.
#[derive(Debug, Clone, Serialize)]
pub struct InjectedFault {
    /// Time since the start of the load.
    pub at: Duration,
    /// When it was complete.
    pub ended: Duration,
    pub action: FaultAction,
    /// Process that it hit.
    pub process: Option<String>,
    /// Statements that were counted.
    pub statements: Option<usize>,
    /// Why it could not be injected.
    pub error: Option<String>,
}
