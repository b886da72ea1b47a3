//! Inputs and dependencies of an election task.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use futures::future::BoxFuture;
use magnoliahatch_core::election::ElectionTimeouts;
use magnoliahatch_core::failure_detector::DetectionTimeouts;
use magnoliahatch_core::failure_detector::PeerReports;
use magnoliahatch_core::group_view::GroupView;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use tokio::sync::watch;

/// Error of a command that got no valid answer.
pub type CallError = Box<dyn Error + Send + Sync>;

/// Calls a command: executes the SQL text on a connection to the member as user `platform` and
/// returns the columns of the single result row as text. The task applies a timeout to each call
/// and drops the future when it expires.
pub type CommandCaller = Arc<
    dyn Fn(MemberId, String) -> BoxFuture<'static, Result<Vec<String>, CallError>> + Send + Sync,
>;

/// Returns the members that are out of service. They are elected only if no other member has an
/// equally new log.
pub type OutOfService = Arc<dyn Fn() -> BTreeSet<MemberId> + Send + Sync>;

/// A primary that this daemon promoted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Elected {
    pub member: MemberId,
    pub term: Term,
}

/// Inputs and dependencies of an election task, which ends when the sender of `view` is dropped.
pub struct Inputs {
    pub database: DatabaseId,
    pub host: HostId,
    /// Distinguishes this process from earlier ones on the host, whose grants it must not use.
    pub incarnation: Incarnation,
    /// Members with the addresses at which the other members reach them.
    pub members: BTreeMap<MemberId, SocketAddr>,
    /// Instant from which the times in the view and in the peers' observations are measured.
    pub start: Instant,
    pub view: watch::Receiver<GroupView>,
    pub peers: watch::Receiver<PeerReports>,
    pub call: CommandCaller,
    pub out_of_service: OutOfService,
    pub patience: DetectionTimeouts,
    pub timing: ElectionTimeouts,
}
