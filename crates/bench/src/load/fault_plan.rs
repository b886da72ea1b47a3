//! Faults that a scenario injects at given times.

use std::time::Duration;

use magnoliahatch_client::objects::placement::Placement;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::api::LinkChange;
use crate::store::fault::StoreFault;

/// A fault and when it is injected.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// Time since the start of the load.
    pub at_ms: u64,
    pub action: FaultAction,
}

/// A fault or another action during a run. A process has the name of its host or member.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultAction {
    /// Kills the process of the current primary.
    KillPrimary {
        database: String,
    },
    /// Suspends the process of the current primary for a time.
    PausePrimary {
        database: String,
        for_ms: u64,
    },
    /// Cuts the links from daemons and other members to the current primary for a time.
    CutPrimary {
        database: String,
        for_ms: u64,
    },
    Kill {
        process: String,
    },
    /// Waits until a process has exited, then starts it again.
    Restart {
        process: String,
    },
    /// Requests a graceful shutdown and waits until the process has exited.
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
    /// Sets the fault that the stand-in store simulates.
    Store {
        fault: StoreFault,
    },
    /// Requests a planned switchover of the primary.
    Switchover {
        database: String,
    },
    /// Waits until `GET /status` of the last host reports that nothing is left of a subject.
    AwaitDrained {
        subject: String,
    },
    /// Counts the statements that a member receives on callers' connections for a time.
    CountWork {
        member: String,
        for_ms: u64,
    },
    /// Takes a host, endpoint or data centre out of service or puts it back.
    Placement {
        subject: String,
        state: Placement,
    },
}

impl FaultAction {
    /// Database whose primary the fault makes unavailable or replaces.
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

/// Result of injecting a fault.
#[derive(Debug, Clone, Serialize)]
pub struct InjectedFault {
    /// Time since the start of the load.
    pub at: Duration,
    /// When the injection was complete, since the start of the load.
    pub ended: Duration,
    pub action: FaultAction,
    /// Process that it affected, if it was a single one.
    pub process: Option<String>,
    /// Number of statements that `CountWork` counted.
    pub statements: Option<usize>,
    /// Why the injection failed.
    pub error: Option<String>,
}
