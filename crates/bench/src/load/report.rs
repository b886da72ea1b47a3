//! Report of one run.

use std::fmt;

use serde::Serialize;

use crate::history::verdict::Verdict;
use crate::load::failover::Failover;
use crate::load::fault_plan::InjectedFault;
use crate::load::phase::Phase;
use crate::load::phase::PhaseReport;
use crate::load::read_share::ReadShare;
use crate::load::summary::Summary;

/// Report of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    pub scenario: String,
    pub variant: String,
    pub repeat: u32,
    pub seed: u64,
    pub length_ms: u64,
    pub organisations: Vec<Summary>,
    pub phases: Vec<PhaseReport>,
    pub reads: ReadShare,
    pub failovers: Vec<Failover>,
    pub faults: Vec<InjectedFault>,
    pub verdict: Verdict,
}

impl Report {
    /// Returns the organisation with the lowest ratio of served operations to operations due inside
    /// its contract; of equal ones, that with the highest 99th percentile of latency.
    pub fn worst_served(&self) -> Option<&Summary> {
        worst_served(&self.organisations)
    }

    /// Returns the longest failover gap in milliseconds; infinite if a database had no acknowledged
    /// write after its fault, none if there was no failover.
    pub fn longest_gap(&self) -> Option<f64> {
        let gaps = self
            .failovers
            .iter()
            .map(|f| f.gap_ms.unwrap_or(f64::INFINITY));
        gaps.max_by(f64::total_cmp)
    }

    /// Returns the number of attempts refused although they were inside their contract.
    pub fn wrongful_refusals(&self) -> u64 {
        self.organisations
            .iter()
            .map(|summary| summary.wrongful)
            .sum()
    }

    /// Returns the number of violations of one kind.
    pub fn violation_count(&self, kind: &str) -> usize {
        self.verdict.counts().get(kind).copied().unwrap_or(0)
    }
}

/// Returns the organisation with the lowest ratio; of equal ones, that with the highest 99th
/// percentile of latency.
fn worst_served(organisations: &[Summary]) -> Option<&Summary> {
    organisations.iter().min_by(|a, b| {
        let by_ratio = a.ratio.total_cmp(&b.ratio);
        by_ratio.then(b.all.p99_ms.total_cmp(&a.all.p99_ms))
    })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} / {}, repeat {}, seed {}, {:.1} s",
            self.scenario,
            self.variant,
            self.repeat,
            self.seed,
            self.length_ms as f64 / 1000.0
        )?;
        writeln!(
            f,
            "{:<16} {:>8} {:>8} {:>8} {:>6} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}",
            "organisation",
            "offered",
            "inside",
            "served",
            "ratio",
            "unknown",
            "wrongful",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "max ms"
        )?;
        for summary in &self.organisations {
            writeln!(
                f,
                "{:<16} {:>8} {:>8} {:>8} {:>6.3} {:>8} {:>8} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
                summary.organisation,
                summary.offered,
                summary.inside,
                summary.served,
                summary.ratio,
                summary.unknown,
                summary.wrongful,
                summary.all.p50_ms,
                summary.all.p99_ms,
                summary.all.p999_ms,
                summary.all.max_ms
            )?;
        }
        for summary in self.organisations.iter().filter(|s| !s.failures.is_empty()) {
            let failures = summary.failures.iter();
            let failures: Vec<_> = failures.map(|(code, n)| format!("{code} x {n}")).collect();
            writeln!(
                f,
                "failed attempts of {}: {}",
                summary.organisation,
                failures.join(", ")
            )?;
        }
        for fault in &self.faults {
            let process = fault.process.as_deref().unwrap_or("-");
            let error = fault.error.as_deref().unwrap_or("done");
            let at = fault.at.as_secs_f64();
            let action = serde_json::to_string(&fault.action).map_err(|_| fmt::Error)?;
            writeln!(f, "fault at {at:.3} s: {action} on {process}: {error}")?;
        }
        writeln!(
            f,
            "reads by replicas: {:.1}% ({} of {})",
            self.reads.share * 100.0,
            self.reads.replicas,
            self.reads.replicas + self.reads.primaries
        )?;
        for failover in &self.failovers {
            let gap = failover.gap_ms.map(|gap| format!("{gap:.0} ms"));
            let gap = gap.unwrap_or_else(|| "no acknowledged write after it".to_owned());
            writeln!(f, "failover gap of {}: {gap}", failover.database)?;
        }
        for phase_report in &self.phases {
            let Phase {
                name,
                from_ms,
                to_ms,
            } = &phase_report.phase;
            write!(f, "phase {name} ({from_ms}..{to_ms} ms): ")?;
            let sum = |count: fn(&Summary) -> u64| {
                phase_report.organisations.iter().map(count).sum::<u64>()
            };
            write!(
                f,
                "{} served of {} inside",
                sum(|s| s.served),
                sum(|s| s.inside)
            )?;
            write!(f, ", {} wrongful refusals", sum(|s| s.wrongful))?;
            if let Some(worst) = worst_served(&phase_report.organisations) {
                let (name, p99) = (&worst.organisation, worst.all.p99_ms);
                write!(
                    f,
                    ", worst {name} (ratio {:.3}, p99 {p99:.1} ms)",
                    worst.ratio
                )?;
            }
            writeln!(f)?;
        }
        if let Some(worst) = self.worst_served() {
            writeln!(
                f,
                "worst-served organisation: {} (ratio {:.3}, p99 {:.1} ms)",
                worst.organisation, worst.ratio, worst.all.p99_ms
            )?;
        }
        writeln!(f, "wrongful refusals: {}", self.wrongful_refusals())?;
        writeln!(
            f,
            "lost writes: {}, doubled writes: {}",
            self.violation_count("lost-write"),
            self.violation_count("doubled-write")
        )?;
        write!(f, "{}", self.verdict)
    }
}
