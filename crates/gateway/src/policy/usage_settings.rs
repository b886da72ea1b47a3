//! Settings of the usage reports.

use std::time::Duration;

/// How usage is reported, where the deployment asks for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageSettings {
    /// Length of the windows for which usage is reported.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due: Duration,
    /// Fraction by which an organisation's count may differ from the true one.
    pub tolerance: f64,
    /// Time within which the duty must not go from a host to another one and back.
    pub lease: Duration,
    /// Shortest time between two calls.
    pub call_interval: Duration,
}
