//! Summaries of a part of a run, for instance while a data centre is out of service.

use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

use crate::load::sample::Sample;
use crate::load::summary::Summary;

/// A part of a run. Operations belong to it by the time at which they are due; `to_ms` is
/// exclusive.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    pub name: String,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Summaries of all organisations for one phase.
#[derive(Debug, Clone, Serialize)]
pub struct PhaseReport {
    pub phase: Phase,
    pub organisations: Vec<Summary>,
}

impl PhaseReport {
    /// Summarises the samples of a phase; `organisations` are in the order of their index.
    pub fn of(phase: &Phase, organisations: &[OrganisationId], samples: &[Sample]) -> Self {
        let is_due_in_phase = |sample: &&Sample| {
            let due = sample.intended.as_millis();
            u128::from(phase.from_ms) <= due && due < u128::from(phase.to_ms)
        };
        let summary = |(index, name): (usize, &OrganisationId)| {
            let of_organisation = samples.iter().filter(|s| s.organisation == index);
            Summary::of(
                name.clone(),
                &of_organisation.filter(is_due_in_phase).collect::<Vec<_>>(),
            )
        };
        Self {
            phase: phase.clone(),
            organisations: organisations.iter().enumerate().map(summary).collect(),
        }
    }
}
