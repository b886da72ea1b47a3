//! What an election task is joined to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use futures::future::BoxFuture;
use magnoliahatch_core::election::Timing;
use magnoliahatch_core::group_view::GroupView;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::suspicion::Patience;
use magnoliahatch_core::suspicion::Peers;
use tokio::sync::watch;

/// Why a verb was not answered.
pub type CallError = Box<dyn Error + Send + Sync>;

/// Calls a verb: executes the SQL text on a `platform` connection to the member and returns the
/// text columns of its one row. The task limits the time of each call and drops late ones.
pub type VerbCall = Arc<
    dyn Fn(MemberId, String) -> BoxFuture<'static, Result<Vec<String>, CallError>> + Send + Sync,
>;

/// Tells which members are out of service; they win only if no other has as new a log.
pub type Avoid = Arc<dyn Fn() -> BTreeSet<MemberId> + Send + Sync>;

/// A primary that this daemon has promoted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Elected {
    pub member: MemberId,
    pub term: Term,
}

/// What an election task is joined to. It ends when the view's sender is dropped.
pub struct Inputs {
    pub database: DatabaseId,
    pub host: HostId,
    /// Distinguishes this run from earlier ones of the host, whose grants it must not use.
    pub incarnation: Incarnation,
    /// Members and the addresses at which the other members reach them.
    pub members: BTreeMap<MemberId, SocketAddr>,
    /// Origin of the times in the view and in the peers' opinions.
    pub start: Instant,
    pub view: watch::Receiver<GroupView>,
    pub peers: watch::Receiver<Peers>,
    pub call: VerbCall,
    pub avoid: Avoid,
    pub patience: Patience,
    pub timing: Timing,
}
