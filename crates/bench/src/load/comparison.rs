//! Comparison of the variants of an experiment.

use std::fmt;

use serde::Serialize;

use crate::load::report::Report;

/// A metric by which variants are compared: one of the design's main metrics (section 1.2 of the
/// design page) or one that helps to explain it.
struct Metric {
    name: &'static str,
    /// Computes the value of one run; none if the metric does not apply to it.
    value: fn(&Report) -> Option<f64>,
}

const METRICS: [Metric; 8] = [
    Metric {
        name: "reads by replicas, share",
        value: |report| Some(report.reads.share),
    },
    Metric {
        name: "failover gap, ms",
        value: Report::longest_gap,
    },
    Metric {
        name: "worst-served organisation, ratio",
        value: |report| report.worst_served().map(|worst| worst.ratio),
    },
    Metric {
        name: "worst-served organisation, p99 ms",
        value: |report| report.worst_served().map(|worst| worst.all.p99_ms),
    },
    Metric {
        name: "wrongful refusals",
        value: |report| Some(report.wrongful_refusals() as f64),
    },
    Metric {
        name: "operations served",
        value: |report| {
            let served = report.organisations.iter().map(|summary| summary.served);
            Some(served.sum::<u64>() as f64)
        },
    },
    Metric {
        name: "highest median latency, ms",
        value: |report| {
            let medians = report
                .organisations
                .iter()
                .map(|summary| summary.all.p50_ms);
            medians.max_by(f64::total_cmp)
        },
    },
    Metric {
        name: "violations",
        value: |report| Some(report.verdict.violations.len() as f64),
    },
];

/// Values of one metric, each list in the order of the variants.
#[derive(Debug, Clone, Serialize)]
pub struct ComparisonRow {
    pub measure: &'static str,
    pub medians: Vec<Option<f64>>,
    /// Each median divided by that of the first variant; none if either is absent or the latter is 0.
    pub ratios: Vec<Option<f64>>,
    /// Lowest and highest value of each variant.
    pub ranges: Vec<Option<(f64, f64)>>,
}

/// Comparison of the variants of one experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    pub variants: Vec<String>,
    pub repeats: usize,
    pub rows: Vec<ComparisonRow>,
}

impl Comparison {
    /// Compares the variants in the order in which they first occur.
    pub fn of(reports: &[Report]) -> Self {
        let mut variants: Vec<String> = Vec::new();
        for report in reports {
            if !variants.contains(&report.variant) {
                variants.push(report.variant.clone());
            }
        }
        let rows = METRICS.iter().map(|metric| {
            let values: Vec<Vec<f64>> = variants
                .iter()
                .map(|variant| {
                    let of_variant = reports.iter().filter(|report| report.variant == *variant);
                    let mut values: Vec<f64> = of_variant.filter_map(metric.value).collect();
                    values.sort_by(f64::total_cmp);
                    values
                })
                .collect();
            let medians: Vec<_> = values.iter().map(|values| median(values)).collect();
            let baseline = medians
                .first()
                .copied()
                .flatten()
                .filter(|baseline| *baseline != 0.0);
            let ratio = |median: &Option<f64>| Some((*median)? / baseline?);
            ComparisonRow {
                measure: metric.name,
                ratios: medians.iter().map(ratio).collect(),
                ranges: values
                    .iter()
                    .map(|v| Some((*v.first()?, *v.last()?)))
                    .collect(),
                medians,
            }
        });
        Self {
            rows: rows.collect(),
            repeats: reports.len() / variants.len().max(1),
            variants,
        }
    }
}

/// Returns the median of sorted values.
fn median(values: &[f64]) -> Option<f64> {
    let middle = values.len() / 2;
    match values.len() {
        0 => None,
        count if count % 2 == 1 => Some(values[middle]),
        _ => Some(f64::midpoint(values[middle - 1], values[middle])),
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "medians of {} repeats, [lowest..highest], ratio to {}",
            self.repeats, self.variants[0]
        )?;
        for row in &self.rows {
            write!(f, "\n{}", row.measure)?;
            for (index, variant) in self.variants.iter().enumerate() {
                write!(f, "\n  {variant:<24}")?;
                match (row.medians[index], row.ranges[index]) {
                    (Some(median), Some((low, high))) => {
                        write!(f, " {median:>12.3} [{low:.3}..{high:.3}]")?;
                    }
                    _ => write!(f, " {:>12}", "-")?,
                }
                if let Some(ratio) = row.ratios[index].filter(|_| index > 0) {
                    write!(f, "  x {ratio:.3}")?;
                }
            }
        }
        Ok(())
    }
}
