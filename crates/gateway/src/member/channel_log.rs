//! Log lines of the statements that channels run.

use std::time::Duration;

use magnoliahatch_core::position::LogPosition;

use crate::log_text::LogText;
use crate::logs;
use crate::model::job::Job;
use crate::model::job::Target;
use crate::model::outcome::Cause;
use crate::model::outcome::Outcome;

/// A statement that took at least this fraction of its time limit is logged as slow. The latency
/// objectives of routes are about a quarter of the limit.
const SLOW_FRACTION: f64 = 0.25;

/// Logs that the proxy ended a transaction.
pub fn ended(target: &Target, cause: Cause) {
    let member = &target.member;
    tracing::info!(
        event = 630,
        member,
        ?cause,
        "transaction ended by the proxy"
    );
}

/// Logs the outcome of a statement and the position that the member had to have applied.
pub fn executed(
    target: &Target,
    job: &Job,
    outcome: &Outcome,
    after: Option<LogPosition>,
    took: Duration,
    queued: Duration,
) {
    let id = LogText(&job.id);
    let member = &target.member;
    let after = after.map(|p| p.to_string()).unwrap_or_default();
    if outcome.is_ok() && took >= job.timeout.mul_f64(SLOW_FRACTION) {
        let (took, queued) = (took.as_millis() as u64, queued.as_millis() as u64);
        tracing::info!(event = 633, %id, member, took, queued, "statement was slow");
    }
    match outcome {
        Ok(answer) if logs::sampled(&job.id) => {
            let position = answer.position.map(|p| p.to_string()).unwrap_or_default();
            tracing::info!(event = 631, %id, member, after, position, "statement ran");
        }
        Ok(_) => {}
        Err(error) => {
            let (code, cause) = (error.code, error.cause);
            tracing::info!(event = 632, %id, member, after, ?code, ?cause, "statement failed");
        }
    }
}
