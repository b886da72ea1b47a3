//! Runs all variants and repeats of a scenario.

use std::path::PathBuf;

use serde::Serialize;

use crate::harness::binaries;
use crate::load::comparison::Comparison;
use crate::load::error::LoadError;
use crate::load::report::Report;
use crate::load::run;
use crate::load::run::RunOptions;
use crate::load::scenario::Scenario;

/// Reports of all runs and their comparison.
#[derive(Debug, Clone, Serialize)]
pub struct Experiment {
    pub reports: Vec<Report>,
    pub comparison: Comparison,
}

/// Runs each variant as often as the scenario says and calls `on_report` with each report. The
/// variants alternate, so that changes in the state of the machine affect all of them alike, and
/// use the same seed in each repeat, so that they get the same arrivals.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    history: Option<PathBuf>,
    mut on_report: impl FnMut(&Report),
) -> Result<Experiment, LoadError> {
    let binaries = binaries::folder()?;
    let variants = scenario.variants();
    let mut reports = Vec::new();
    for repeat in 0..scenario.repeats {
        for (index, variant) in variants.iter().enumerate() {
            let single_run = scenario.repeats == 1 && variants.len() == 1;
            let options = RunOptions {
                binaries: binaries.clone(),
                repeat,
                seed: seed.wrapping_add(u64::from(repeat)),
                history: history.as_ref().map(|path| match single_run {
                    true => path.clone(),
                    false => path.with_extension(format!("{index}.{repeat}.jsonl")),
                }),
                logs: None,
            };
            let report = run::run(scenario, variant, &options).await?;
            on_report(&report);
            reports.push(report);
        }
    }
    Ok(Experiment {
        comparison: Comparison::of(&reports),
        reports,
    })
}
