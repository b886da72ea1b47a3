//! What is allowed when the whole system has started again.

use std::time::Duration;

use crate::model::configuration::Rate;
use crate::policy::bounds::RateBounds;

/// A process that has run longer was not started together with one that has just started.
const TOGETHER: Duration = Duration::from_secs(3);
/// Part of the allowed excess that a restart may use: the system may start twice within a window.
const EXCESS_PART: f64 = 0.5;

/// Whether this process and all others that answered with their age have been started together.
pub fn is_whole(own: Duration, others: &[Duration]) -> bool {
    own < TOGETHER && others.iter().all(|age| *age < TOGETHER)
}

/// Operations that an organisation may run at once after a restart of the whole system. What it ran
/// before is not known; its callers all return at once.
pub fn first_tokens(rate: Rate, bounds: &RateBounds) -> f64 {
    let window = rate.per_second * bounds.window.as_secs_f64() + rate.burst;
    let excess = window * bounds.overage + bounds.slack;
    (excess * EXCESS_PART).min(rate.burst)
}
