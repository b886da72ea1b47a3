//! One run of the soak.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::Instant;

use crate::harness::binaries;
use crate::harness::plan::HostPlan;
use crate::load::error::LoadError;
use crate::load::fault_plan::FaultAction;
use crate::load::injector;
use crate::load::report::Report;
use crate::load::run::RunOptions;
use crate::load::run::run_with_faults;
use crate::soak::case::Case;
use crate::soak::draw;
use crate::soak::finding::Finding;
use crate::soak::watch;

/// Share of the operations inside a contract that has to be served after the faults: nothing is
/// refused below nine tenths of a rate, and the load stays below that.
const SERVED: f64 = 0.9;

/// Time that a resumed host may take to close connections that it is no longer allowed: one probe
/// of the members by [`watch`] and a second for a busy machine.
const CLOSE_LIMIT: Duration = Duration::from_millis(1_200);

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    pub findings: Vec<Finding>,
    /// None if the run was not completed.
    pub report: Option<Report>,
}

/// Runs a case. `folder` gets the history and the logs.
pub async fn run(case: &Case, folder: &Path) -> Outcome {
    let mut findings = Vec::new();
    let report = match observe(case, folder, &mut findings).await {
        Ok(report) => Some(report),
        Err(error) => {
            findings.push(Finding::Incomplete(error.to_string()));
            None
        }
    };
    Outcome { findings, report }
}

async fn observe(
    case: &Case,
    folder: &Path,
    findings: &mut Vec<Finding>,
) -> Result<Report, LoadError> {
    std::fs::create_dir_all(folder)?;
    let scenario = draw::scenario(case)?;
    let options = RunOptions {
        binaries: binaries::folder()?,
        repeat: 0,
        seed: case.seed,
        history: Some(folder.join("history.jsonl")),
        logs: Some(folder.to_owned()),
    };
    let seen = Arc::new(Mutex::new(Vec::new()));
    let watched = Arc::clone(&seen);
    let (faults, length) = (scenario.faults.clone(), scenario.length());
    let inject = |fleet, start: Instant| async move {
        let injected = injector::inject(Arc::clone(&fleet), faults, start);
        let (injected, found) = tokio::join!(injected, watch::watch(fleet, start, length));
        let mut seen = watched.lock().unwrap_or_else(PoisonError::into_inner);
        seen.extend(found);
        injected
    };
    let report = run_with_faults(&scenario, &scenario.variants()[0], &options, inject).await;
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    findings.append(&mut seen);
    let report = report?;
    judge(&report, &scenario.fleet.hosts, findings);
    Ok(report)
}

/// Removes what is allowed and adds what the report shows.
fn judge(report: &Report, hosts: &[HostPlan], findings: &mut Vec<Finding>) {
    findings.retain(|finding| match finding {
        Finding::Connections { at, .. } => !is_host_suspended(report, hosts, *at),
        _ => true,
    });
    if !report.verdict.is_valid() {
        findings.push(Finding::History(report.verdict.clone()));
    }
    for fault in &report.faults {
        if let Some(error) = &fault.error
            && !may_fail(&fault.action)
        {
            findings.push(Finding::Fault {
                action: fault.action.clone(),
                error: error.clone(),
            });
        }
    }
    for summary in report.phases.iter().flat_map(|phase| &phase.organisations) {
        if (summary.served as f64) < SERVED * summary.inside as f64 {
            findings.push(Finding::Unserved {
                organisation: summary.organisation.clone(),
                served: summary.served,
                inside: summary.inside,
            });
        }
    }
}

/// Whether a host was suspended at that time. It cannot close its connections when the loan that
/// allowed them ends; only the member's own limit holds then.
fn is_host_suspended(report: &Report, hosts: &[HostPlan], at: Duration) -> bool {
    report.faults.iter().any(|fault| {
        let FaultAction::Pause { process, .. } = &fault.action else {
            return false;
        };
        let suspended = fault.at..fault.ended + CLOSE_LIMIT;
        hosts.iter().any(|host| host.name == *process) && suspended.contains(&at)
    })
}

/// Whether other faults may prevent an order of the operator.
fn may_fail(action: &FaultAction) -> bool {
    matches!(
        action,
        FaultAction::Switchover { .. } | FaultAction::Placement { .. }
    )
}
