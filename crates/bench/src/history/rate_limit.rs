//! Rate limit of an organisation.

use serde::Deserialize;
use serde::Serialize;

/// Rate limit of an organisation over all hosts together: at most `rate` x window + `burst`
/// statements may run in any window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Statements per second.
    pub rate: f64,
    /// Statements by which a window may exceed the rate.
    pub burst: f64,
}
