//! Callbacks from the administration API to other modules.

use std::fmt;
use std::sync::Arc;

use futures::future::BoxFuture;
use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::switchover_request::SwitchoverRequest;
use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use thiserror::Error;

/// Returns the configuration in force on each seated host.
pub type StatusFn = Arc<dyn Fn() -> FleetStatus + Send + Sync>;
/// Returns all metrics as text.
pub type MetricsFn = Arc<dyn Fn() -> String + Send + Sync>;
/// Replaces the primary of a database. The caller has checked that the database and the chosen
/// member exist.
pub type SwitchoverFn = Arc<
    dyn Fn(
            DatabaseId,
            SwitchoverRequest,
        ) -> BoxFuture<'static, Result<SwitchoverResult, SwitchoverError>>
        + Send
        + Sync,
>;

/// Why a switchover did not complete.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SwitchoverError {
    #[error("no majority of its members answers; check their hosts and links")]
    NoMajority,
    #[error("member {0:?} cannot be reached; choose another one")]
    Unreachable(MemberId),
    #[error(
        "member {0:?} lacks confirmed entries; wait until it has caught up, or choose another one"
    )]
    Behind(MemberId),
    #[error("another election reached term {0} first; check the new primary with `status`")]
    Superseded(Term),
    #[error("it took too long; check the primary with `status` before repeating it")]
    TimedOut,
}

/// Callbacks that the API invokes.
#[derive(Clone)]
pub struct Hooks {
    pub status: StatusFn,
    pub metrics: MetricsFn,
    pub switchover: SwitchoverFn,
}

impl fmt::Debug for Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Hooks").finish_non_exhaustive()
    }
}
