//! Summary of one organisation's operations.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use magnoliahatch_core::ids::OrganisationId;
use serde::Serialize;

use crate::history::outcome::Outcome;
use crate::load::sample::OperationKind;
use crate::load::sample::Sample;

/// Significant decimal digits of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency of served operations, from the time at which they were due to the answer.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Latencies {
    pub count: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
}

/// Summary of one organisation's operations.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    pub organisation: OrganisationId,
    /// Operations that were due.
    pub offered: u64,
    /// Operations that were due inside the contract.
    pub inside: u64,
    pub served: u64,
    /// Served operations divided by operations due inside the contract, at most 1.
    pub ratio: f64,
    pub unknown: u64,
    /// Operations abandoned before a session was free.
    pub not_started: u64,
    /// Wrongful refusals: attempts refused as not run although they were inside the contract.
    pub wrongful: u64,
    /// Number of failed attempts by SQLSTATE, or by name for failures without one.
    pub failures: BTreeMap<String, u64>,
    pub all: Latencies,
    pub reads: Latencies,
    pub writes: Latencies,
}

impl Summary {
    /// Summarises the samples of one organisation.
    pub fn of(organisation: OrganisationId, samples: &[&Sample]) -> Self {
        let count = |predicate: &dyn Fn(&Sample) -> bool| {
            samples.iter().filter(|sample| predicate(sample)).count() as u64
        };
        let inside = count(&|sample| sample.inside);
        let served = count(&|sample| sample.served);
        let mut failures = BTreeMap::new();
        let mut wrongful = 0;
        for failure in samples.iter().flat_map(|sample| &sample.failures) {
            *failures.entry(failure.code.clone()).or_default() += 1;
            wrongful +=
                u64::from(failure.inside && failure.refused && failure.outcome == Outcome::NotRun);
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

fn latencies(samples: &[&Sample], predicate: impl Fn(OperationKind) -> bool) -> Latencies {
    let Ok(mut histogram) = Histogram::<u64>::new(SIGNIFICANT_DIGITS) else {
        return Latencies::default();
    };
    for sample in samples
        .iter()
        .filter(|sample| sample.served && predicate(sample.kind))
    {
        let latency = sample.answered.saturating_sub(sample.intended);
        // An auto-resizing histogram accepts every value.
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

/// Converts a duration to fractional milliseconds.
pub fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
