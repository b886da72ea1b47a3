//! Time without acknowledged writes around a failed primary.

use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use serde::Serialize;

use crate::history::outcome::Outcome;
use crate::load::fault_plan::InjectedFault;
use crate::load::sample::OperationKind;
use crate::load::sample::Sample;
use crate::load::summary::millis;

/// A gap that starts later after the fault has another cause.
const REACH: Duration = Duration::from_secs(6);

/// Time without acknowledged writes around a failed primary.
#[derive(Debug, Clone, Serialize)]
pub struct Failover {
    pub database: DatabaseId,
    pub member: Option<String>,
    pub at_ms: f64,
    /// From the last acknowledged write before to the first one after; none if there was none
    /// after the fault.
    pub gap_ms: Option<f64>,
}

/// Measures the gap of one fault from the samples of its database.
pub fn measure(fault: &InjectedFault, database: &str, samples: &[&Sample]) -> Failover {
    let mut acknowledged: Vec<Duration> = samples
        .iter()
        .filter(|s| s.kind != OperationKind::Read && s.outcome == Outcome::Ran)
        .map(|s| s.answered)
        .collect();
    acknowledged.sort();
    // Answers on their way when the primary failed still arrive, so the gap is the longest one
    // that ends after the fault and starts soon enough.
    let gap = acknowledged
        .windows(2)
        .filter(|pair| pair[1] > fault.at && pair[0] < fault.at + REACH)
        .map(|pair| pair[1] - pair[0])
        .max();
    Failover {
        database: database.to_owned(),
        member: fault.process.clone(),
        at_ms: millis(fault.at),
        gap_ms: gap.map(millis),
    }
}
