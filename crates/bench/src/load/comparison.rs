//! Compares the variants of one experiment.

use std::fmt;

use serde::Serialize;

use crate::load::report::Report;

/// A measure of section 1.2 of the design page, or one that supports it.
struct Measure {
    name: &'static str,
    /// Absent in runs to which the measure does not apply.
    value: fn(&Report) -> Option<f64>,
}

const MEASURES: [Measure; 8] = [
    Measure {
        name: "reads by replicas, share",
        value: |report| Some(report.reads.share),
    },
    Measure {
        name: "failover gap, ms",
        value: Report::longest_gap,
    },
    Measure {
        name: "worst-served organisation, ratio",
        value: |report| report.worst().map(|worst| worst.ratio),
    },
    Measure {
        name: "worst-served organisation, p99 ms",
        value: |report| report.worst().map(|worst| worst.all.p99_ms),
    },
    Measure {
        name: "wrongful refusals",
        value: |report| Some(report.wrongful() as f64),
    },
    Measure {
        name: "operations served",
        value: |report| {
            let served = report.organisations.iter().map(|summary| summary.served);
            Some(served.sum::<u64>() as f64)
        },
    },
    Measure {
        name: "highest median latency, ms",
        value: |report| {
            let medians = report
                .organisations
                .iter()
                .map(|summary| summary.all.p50_ms);
            medians.max_by(f64::total_cmp)
        },
    },
    Measure {
        name: "violations",
        value: |report| Some(report.verdict.violations.len() as f64),
    },
];

/// Medians of one measure, in order of the variants.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    pub measure: &'static str,
    pub medians: Vec<Option<f64>>,
    /// Each median divided by that of the first variant; none if that is 0.
    pub ratios: Vec<Option<f64>>,
    /// Lowest and highest value of each variant.
    pub ranges: Vec<Option<(f64, f64)>>,
}

/// Comparison of the variants of one experiment.
#[derive(Debug, Clone, Serialize)]
pub struct Comparison {
    pub variants: Vec<String>,
    pub repeats: usize,
    pub rows: Vec<Row>,
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
        let rows = MEASURES.iter().map(|measure| {
            let values: Vec<Vec<f64>> = variants
                .iter()
                .map(|variant| {
                    let own = reports.iter().filter(|report| report.variant == *variant);
                    let mut values: Vec<f64> = own.filter_map(measure.value).collect();
                    values.sort_by(f64::total_cmp);
                    values
                })
                .collect();
            let medians: Vec<_> = values.iter().map(|values| median(values)).collect();
            let base = medians
                .first()
                .copied()
                .flatten()
                .filter(|base| *base != 0.0);
            let ratio = |median: &Option<f64>| Some((*median)? / base?);
            Row {
                measure: measure.name,
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

/// Median of sorted values.
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
