//! Measures how long writes were unavailable when a primary failed.

use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use serde::Serialize;

use crate::history::outcome::Outcome;
use crate::load::fault_plan::InjectedFault;
use crate::load::sample::OperationKind;
use crate::load::sample::Sample;
use crate::load::summary::millis;

/// Latest start of a failover gap after the fault; a gap that starts later has another cause.
const MAX_GAP_START_DELAY: Duration = Duration::from_secs(6);

/// Time without acknowledged writes after a primary failed or was replaced.
#[derive(Debug, Clone, Serialize)]
pub struct Failover {
    pub database: DatabaseId,
    pub member: Option<String>,
    pub at_ms: f64,
    /// Time between the acknowledged writes before and after the gap; none if no write was
    /// acknowledged after the fault.
    pub gap_ms: Option<f64>,
}

/// Measures the failover gap of one fault from the samples of its database.
pub fn measure(fault: &InjectedFault, database: &str, samples: &[&Sample]) -> Failover {
    let mut acknowledged: Vec<Duration> = samples
        .iter()
        .filter(|s| s.kind != OperationKind::Read && s.outcome == Outcome::Ran)
        .map(|s| s.answered)
        .collect();
    acknowledged.sort();
    // Answers in transit when the primary failed still arrive, so the gap does not start exactly at
    // the fault. It is the longest one that ends after the fault and starts soon enough after it.
    let gap = acknowledged
        .windows(2)
        .filter(|pair| pair[1] > fault.at && pair[0] < fault.at + MAX_GAP_START_DELAY)
        .map(|pair| pair[1] - pair[0])
        .max();
    Failover {
        database: database.to_owned(),
        member: fault.process.clone(),
        at_ms: millis(fault.at),
        gap_ms: gap.map(millis),
    }
}
