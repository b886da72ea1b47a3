//! Report of measured values, with their medians and slopes.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::capacity::sample::Values;

/// Values measured at one size.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    pub axis: &'static str,
    /// Size along the axis.
    pub size: f64,
    pub window: &'static str,
    pub values: Values,
}

/// Least-squares line of a value along an axis. `offset` is its value at size 0.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    pub axis: &'static str,
    pub window: &'static str,
    pub value: &'static str,
    pub slope: f64,
    pub offset: f64,
}

/// Results of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    pub command: String,
    pub seed: u64,
    pub rows: Vec<Row>,
    pub slopes: Vec<Slope>,
}

impl Report {
    pub fn new(command: String, seed: u64, mut rows: Vec<Row>) -> Self {
        rows.sort_by(|a, b| {
            let key = |row: &Row| (row.axis, row.window);
            key(a).cmp(&key(b)).then(a.size.total_cmp(&b.size))
        });
        let slopes = slopes(&rows);
        Self {
            command,
            seed,
            rows,
            slopes,
        }
    }
}

/// Returns the median of each value over several runs.
pub fn medians(runs: &[Values]) -> Values {
    let mut all: BTreeMap<&'static str, Vec<f64>> = BTreeMap::new();
    for (name, value) in runs.iter().flatten() {
        all.entry(name).or_default().push(*value);
    }
    all.into_iter()
        .map(|(name, values)| (name, quantile(values, 0.5)))
        .collect()
}

/// Returns a quantile of the values, or NaN if there are none.
pub fn quantile(mut values: Vec<f64>, fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len().saturating_sub(1) as f64 * fraction).round();
    values.get(index as usize).copied().unwrap_or(f64::NAN)
}

/// Returns the slopes of all values along each axis that has at least three sizes.
fn slopes(rows: &[Row]) -> Vec<Slope> {
    let mut points: BTreeMap<_, Vec<(f64, f64)>> = BTreeMap::new();
    for row in rows {
        for (name, value) in &row.values {
            let key = (row.axis, row.window, *name);
            points.entry(key).or_default().push((row.size, *value));
        }
    }
    let slope = |((axis, window, value), points): (_, Vec<(f64, f64)>)| {
        let (slope, offset) = fit_line(&points)?;
        Some(Slope {
            axis,
            window,
            value,
            slope,
            offset,
        })
    };
    points.into_iter().filter_map(slope).collect()
}

/// Returns slope and offset of the least-squares line, or `None` for fewer than three points.
pub fn fit_line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    if points.len() < 3 {
        return None;
    }
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let sum_of_products: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = sum_of_products / sum_of_squares;
    Some((slope, mean_y - slope * mean_x))
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}\nseed {}", self.command, self.seed)?;
        let mut last = None;
        for row in &self.rows {
            if last != Some((row.axis, row.window)) {
                write!(f, "\n{:>14}", row.axis)?;
                for name in row.values.keys() {
                    write!(f, " {name:>21}")?;
                }
                writeln!(f, "  ({})", row.window)?;
                last = Some((row.axis, row.window));
            }
            write!(f, "{:>14}", row.size)?;
            for value in row.values.values() {
                write!(f, " {value:>21.3}")?;
            }
            writeln!(f)?;
        }
        writeln!(f, "\nslopes")?;
        for slope in &self.slopes {
            writeln!(
                f,
                "{:>14} {:>9} {:>22} {:>16.6} per unit, {:>16.3} at 0",
                slope.axis, slope.window, slope.value, slope.slope, slope.offset
            )?;
        }
        Ok(())
    }
}
