//! Routes of the configuration.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::model::region_limit::RegionLimit;

/// How current the reads of a route must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Reads see every acknowledged commit.
    Primary,
    /// Reads see every commit acknowledged longer than this ago.
    Bounded(Duration),
    /// As `Bounded`, and every commit of the same session.
    OwnWrites(Duration),
}

/// A database name that clients may open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub service: String,
    pub kind: RouteKind,
    /// Limit of one statement.
    pub timeout: Duration,
    /// Time in which a whole operation should be answered.
    pub objective: Duration,
    /// 0 is the most important.
    pub priority: u32,
    pub anonymous: bool,
    /// Where its statements may run.
    pub regions: RegionLimit,
}
