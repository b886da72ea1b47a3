//! Results of one organisation.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use magnoliahatch_core::ids::OrganisationId;
use serde::Serialize;

use crate::history::outcome::Outcome;
use crate::load::sample::OperationKind;
use crate::load::sample::Sample;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Latency from the intended arrival to the answer, of operations that were served.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Latencies {
    pub count: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
}

/// Results of one organisation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    pub organisation: OrganisationId,
    /// Operations that were due.
    pub offered: u64,
    /// Operations that were due inside the contract.
    pub inside: u64,
    pub served: u64,
    /// Served operations per operation that was due inside the contract, at most 1.
    pub ratio: f64,
    pub unknown: u64,
    /// Operations whose callers gave up before a session was free.
    pub not_started: u64,
    /// Attempts refused as not run while everything sent was inside the contract.
    pub wrongful: u64,
    /// Attempts that failed, by SQLSTATE.
    pub failures: BTreeMap<String, u64>,
    pub all: Latencies,
    pub reads: Latencies,
    pub writes: Latencies,
}

impl Summary {
    /// Summarises the samples of one organisation.
    pub fn of(organisation: OrganisationId, samples: &[&Sample]) -> Self {
        let count = |wanted: &dyn Fn(&Sample) -> bool| {
            samples.iter().filter(|sample| wanted(sample)).count() as u64
        };
        let inside = count(&|sample| sample.inside);
        let served = count(&|sample| sample.served);
        let mut failures = BTreeMap::new();
        let mut wrongful = 0;
        for failed in samples.iter().flat_map(|sample| &sample.failures) {
            *failures.entry(failed.code.clone()).or_default() += 1;
            wrongful +=
                u64::from(failed.inside && failed.refused && failed.outcome == Outcome::NotRun);
        }
        Self {
            organisation,
            offered: samples.len() as u64,
            inside,
            served,
            ratio: if inside == 0 {
                1.0
            } else {
                (served as f64 / inside as f64).min(1.0)
            },
            unknown: count(&|sample| sample.outcome == Outcome::Unknown),
            not_started: count(&|sample| !sample.served && sample.failures.is_empty()),
            wrongful,
            failures,
            all: latencies(samples, |_| true),
            reads: latencies(samples, |kind| kind == OperationKind::Read),
            writes: latencies(samples, |kind| kind != OperationKind::Read),
        }
    }
}

fn latencies(samples: &[&Sample], wanted: impl Fn(OperationKind) -> bool) -> Latencies {
    let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else {
        return Latencies::default();
    };
    for sample in samples
        .iter()
        .filter(|sample| sample.served && wanted(sample.kind))
    {
        let latency = sample.answered.saturating_sub(sample.intended);
        // The histogram grows with its values.
        let _ = histogram.record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }
    let quantile = |q| millis(Duration::from_micros(histogram.value_at_quantile(q)));
    Latencies {
        count: histogram.len(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        p999_ms: quantile(0.999),
        max_ms: millis(Duration::from_micros(histogram.max())),
    }
}

/// Milliseconds with fraction.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
