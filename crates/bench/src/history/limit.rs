//! Limit of one organisation over all hosts together.

use serde::Deserialize;
use serde::Serialize;

/// At most `rate` x window + `burst` statements may run in any window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Statements per second.
    pub rate: f64,
    /// Statements that may run at once above the rate.
    pub burst: f64,
}
