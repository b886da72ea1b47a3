//! Service during a part of a run, for instance while a data centre is out of service.

use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

use crate::load::sample::Sample;
use crate::load::summary::Summary;

/// A part of a run, by the times at which operations are due.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    pub name: String,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Service during a phase.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    pub phase: Phase,
    pub organisations: Vec<Summary>,
}

impl PhaseReport {
    /// Summarises the samples of a phase; `organisations` are in the order of their index.
    pub fn of(phase: &Phase, organisations: &[OrganisationId], samples: &[Sample]) -> Self {
        let during = |sample: &&Sample| {
            let due = sample.intended.as_millis();
            u128::from(phase.from_ms) <= due && due < u128::from(phase.to_ms)
        };
        let summary = |(index, name): (usize, &OrganisationId)| {
            let own = samples.iter().filter(|s| s.organisation == index);
            Summary::of(name.clone(), &own.filter(during).collect::<Vec<_>>())
        };
        Self {
            phase: phase.clone(),
            organisations: organisations.iter().enumerate().map(summary).collect(),
        }
    }
}
