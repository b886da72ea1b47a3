//! Counters and latency histograms, served as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cadence::Counted;
use cadence::Histogrammed;
use cadence::MetricSink;
use cadence::StatsdClient;

use crate::model::outcome::Failure;

/// Series beyond this are dropped, so that names sent by clients cannot grow memory.
const SERIES_LIMIT: usize = 512;
/// Largest latency that a histogram distinguishes.
const LONGEST_MICROS: u64 = 60_000_000;
/// Quantiles in the text.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// Aggregates what `cadence` sends.
#[derive(Debug, Default)]
pub struct Registry {
    counters: Mutex<BTreeMap<String, u64>>,
    histograms: Mutex<BTreeMap<String, hdrhistogram::Histogram<u64>>>,
}

impl Registry {
    /// All series in the usual exposition format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, value) in counters.iter() {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{name} {value}");
        }
        let histograms = self
            .histograms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (name, histogram) in histograms.iter() {
            let (base, labels) = name.split_once('{').unwrap_or((name, "}"));
            let labels = labels.trim_end_matches('}');
            let comma = if labels.is_empty() { "" } else { "," };
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "{base}{{{labels}{comma}quantile=\"{quantile}\"}} {value}"
                );
            }
            let _ = writeln!(text, "{base}_count{{{labels}}} {}", histogram.len());
        }
        text
    }

    fn record(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let mut parts = rest.split('|');
        let value: u64 = parts.next()?.parse().ok()?;
        let kind = parts.next()?;
        let tags = parts
            .next()
            .and_then(|t| t.strip_prefix('#'))
            .unwrap_or_default();
        let labels: Vec<String> = tags
            .split(',')
            .filter_map(|tag| tag.split_once(':'))
            .map(|(key, value)| format!("{key}=\"{value}\""))
            .collect();
        let series = format!("{}{{{}}}", name.replace('.', "_"), labels.join(","));
        if kind == "h" {
            let mut histograms = self
                .histograms
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if histograms.len() >= SERIES_LIMIT && !histograms.contains_key(&series) {
                return None;
            }
            let histogram = match histograms.entry(series) {
                std::collections::btree_map::Entry::Occupied(found) => found.into_mut(),
                std::collections::btree_map::Entry::Vacant(free) => {
                    let new = hdrhistogram::Histogram::new_with_max(LONGEST_MICROS, 2).ok()?;
                    free.insert(new)
                }
            };
            histogram.saturating_record(value);
        } else {
            let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
            if counters.len() >= SERIES_LIMIT && !counters.contains_key(&series) {
                return None;
            }
            *counters.entry(series).or_default() += value;
        }
        Some(())
    }
}

struct RegistrySink(Arc<Registry>);

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let recorded = self.0.record(metric);
        let full = || io::Error::other("the series limit is reached");
        recorded.map(|()| metric.len()).ok_or_else(full)
    }
}

/// Metrics of the data path.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    registry: Arc<Registry>,
}

impl Metrics {
    pub fn open() -> Self {
        let registry = Arc::new(Registry::default());
        let client = StatsdClient::from_sink("magnoliahatch", RegistrySink(registry.clone()));
        Self { client, registry }
    }

    pub fn registry(&self) -> Arc<Registry> {
        self.registry.clone()
    }

    /// Records a statement that a member answered.
    pub fn answered(&self, route: &str, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let metric = self.client.histogram_with_tags("statement_micros", micros);
        metric.with_tag("route", route).send();
    }

    /// Counts a statement that failed.
    pub fn refused(&self, route: &str, error: &Failure) {
        let code = format!("{:?}", error.code);
        let cause = format!("{:?}", error.cause);
        let metric = self.client.count_with_tags("statement_failures", 1);
        let metric = metric.with_tag("route", route).with_tag("code", &code);
        metric.with_tag("cause", &cause).send();
    }
}
