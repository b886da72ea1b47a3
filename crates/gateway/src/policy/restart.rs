//! Rate limits right after a restart of the whole system.

use std::time::Duration;

use crate::model::configuration::Rate;
use crate::policy::bounds::RateBounds;

/// Maximum age of a process that counts as started together with one that has just started.
const MAX_START_GAP: Duration = Duration::from_secs(3);
/// Fraction of the allowed excess that one restart may use: the system may restart twice within a
/// window.
const EXCESS_FRACTION: f64 = 0.5;

/// Returns whether this process and all others that reported their age were started together.
pub fn started_together(own: Duration, others: &[Duration]) -> bool {
    own < MAX_START_GAP && others.iter().all(|age| *age < MAX_START_GAP)
}

/// Number of operations that an organisation may run at once after a restart of the whole system.
/// All clients return at once, and how many operations they ran before the restart is unknown.
pub fn initial_tokens(rate: Rate, bounds: &RateBounds) -> f64 {
    let window = rate.per_second * bounds.window.as_secs_f64() + rate.burst;
    let excess = window * bounds.overage + bounds.slack;
    (excess * EXCESS_FRACTION).min(rate.burst)
}
