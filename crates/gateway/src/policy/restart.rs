//! Rate limits right after a restart of the whole system.

use std::time::Duration;

use crate::model::configuration::Rate;
use crate::policy::bounds::RateBounds;

/// Maximum age of a process that counts as started together with one that has just started.
const MAX_START_GAP: Duration = Duration::from_secs(3);
/// Fraction of the allowed excess that one restart may use: the system may restart twice within a
/// window.
const EXCESS_FRACTION: f64 = 0.5;

/// What a starting process finds out about the process of another host.
#[derive(Debug, Clone, Copy)]
pub enum ProcessState {
    /// It runs since this time.
    Running(Duration),
    /// The registered process has ended.
    Ended,
    /// It did not answer.
    Silent,
}

/// Returns whether this process and all others were started together. If more than half of them are
/// silent, this process may be cut off from a running system, or the others may be stopping.
pub fn started_together(own: Duration, others: &[ProcessState]) -> bool {
    let is_older = |state: &ProcessState| match state {
        ProcessState::Running(age) => *age >= MAX_START_GAP,
        ProcessState::Ended | ProcessState::Silent => false,
    };
    let silent = others.iter().filter(|s| matches!(s, ProcessState::Silent));
    let known = silent.count() * 2 <= others.len();
    own < MAX_START_GAP && known && !others.iter().any(is_older)
}

/// Number of operations that an organisation may run at once after a restart of the whole system.
/// All clients return at once, and how many operations they ran before the restart is unknown.
pub fn initial_tokens(rate: Rate, bounds: &RateBounds) -> f64 {
    let window = rate.per_second * bounds.window.as_secs_f64() + rate.burst;
    let excess = window * bounds.overage + bounds.slack;
    (excess * EXCESS_FRACTION).min(rate.burst)
}
