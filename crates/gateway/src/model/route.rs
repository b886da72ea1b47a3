//! Routes from database names to services.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::model::region_limit::RegionLimit;

/// How current the reads of a route must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Reads run on the primary and see every acknowledged commit.
    Primary,
    /// Reads see every commit that was acknowledged longer ago than this.
    Bounded(Duration),
    /// Like `Bounded`, and reads also see every commit of their own session.
    OwnWrites(Duration),
}

/// A database name that clients may open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub service: String,
    pub kind: RouteKind,
    /// Timeout of one statement.
    pub timeout: Duration,
    /// Target for the time until a whole operation is answered.
    pub objective: Duration,
    /// 0 is the highest priority.
    pub priority: u32,
    /// Whether clients may connect without a key.
    pub anonymous: bool,
    /// Regions in which statements may run.
    pub regions: RegionLimit,
}
