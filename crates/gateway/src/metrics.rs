//! Counters and latency histograms, exposed as text.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::Histogrammed;
use cadence::MetricSink;
use cadence::StatsdClient;
use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::utf8_percent_encode;

use crate::model::client_refusal::ClientRefusal;
use crate::model::outcome::Failure;
use crate::policy::pace::WindowCause;
use crate::policy::refusal::Refusal;

/// Further series are dropped, so that names sent by clients cannot grow memory without bound.
const MAX_SERIES: usize = 512;
/// Larger latencies are recorded as this one.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Characters that end a label's value in the exposed text or in the lines of `cadence`.
const ENCODED_IN_LABELS: &AsciiSet = &CONTROLS
    .add(b'"')
    .add(b'\\')
    .add(b'{')
    .add(b'}')
    .add(b',')
    .add(b'|')
    .add(b'#')
    .add(b'%');
/// Statements of lower classes are counted with this one, so that their number of series is bounded.
const MAX_CLASS_LABEL: u32 = 9;
/// The exposed quantiles.
const QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// Aggregates the metrics that the `cadence` client emits.
#[derive(Debug, Default)]
pub struct Registry {
    counters: Mutex<BTreeMap<String, u64>>,
    gauges: Mutex<BTreeMap<String, u64>>,
    histograms: Mutex<BTreeMap<String, hdrhistogram::Histogram<u64>>>,
}

impl Registry {
    /// Returns all series in the text exposition format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, value) in counters.iter() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{name} {value}");
        }
        let gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, value) in gauges.iter() {
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

    fn remove(&self, series: &str) {
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        gauges.remove(series);
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
        if kind == "g" {
            let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
            if gauges.len() >= MAX_SERIES && !gauges.contains_key(&series) {
                return None;
            }
            gauges.insert(series, value);
        } else if kind == "h" {
            let mut histograms = self
                .histograms
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            if histograms.len() >= MAX_SERIES && !histograms.contains_key(&series) {
                return None;
            }
            let histogram = match histograms.entry(series) {
                std::collections::btree_map::Entry::Occupied(found) => found.into_mut(),
                std::collections::btree_map::Entry::Vacant(free) => {
                    let new = hdrhistogram::Histogram::new_with_max(MAX_LATENCY_MICROS, 2).ok()?;
                    free.insert(new)
                }
            };
            histogram.saturating_record(value);
        } else {
            let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
            if counters.len() >= MAX_SERIES && !counters.contains_key(&series) {
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
        let full = || io::Error::other("the limit of metric series is reached");
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

    /// Records the latency of a statement that a member answered.
    pub fn record_answered(&self, route: &str, took: Duration) {
        let metric = self
            .client
            .histogram_with_tags("statement_micros", micros(took));
        metric.with_tag("route", &label(route)).send();
    }

    /// Counts a record of a primary that came back from a copy, by what became of it.
    pub fn count_repair(&self, outcome: &str) {
        let metric = self.client.count_with_tags("record_repairs", 1);
        metric.with_tag("outcome", outcome).send();
    }

    /// Adds to a counter of the usage reports.
    pub fn count_usage(&self, name: &str, count: u64) {
        if count > 0 {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.client.count_with_tags(name, count).send();
        }
    }

    /// Sets a value of the usage reports.
    pub fn set_usage(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// Counts an operation that asked for a token of its organisation's rate.
    pub fn count_rate(&self, priority: u32, granted: bool) {
        let name = if granted {
            "rate_granted"
        } else {
            "rate_refused"
        };
        let metric = self.client.count_with_tags(name, 1);
        metric.with_tag("priority", &priority.to_string()).send();
    }

    /// Records the number of statements that may be in flight at a member.
    pub fn record_window(&self, member: &str, window: u32) {
        let metric = self
            .client
            .gauge_with_tags("member_window", u64::from(window));
        metric.with_tag("member", &label(member)).send();
    }

    /// Removes the window of a member that has left, so that series do not accumulate.
    pub fn remove_window(&self, member: &str) {
        let label = label(member);
        let series = format!("magnoliahatch_member_window{{member=\"{label}\"}}");
        self.registry.remove(&series);
    }

    /// Counts a choice of a member for a read, by what was known of that member.
    pub fn count_choice(&self, reported: bool) {
        let metric = self.client.count_with_tags("read_choices", 1);
        let basis = if reported { "report" } else { "own" };
        metric.with_tag("basis", basis).send();
    }

    /// Counts a change of the window of a member.
    pub fn count_window_change(&self, cause: WindowCause) {
        let metric = self.client.count_with_tags("member_window_changes", 1);
        metric.with_tag("cause", cause.label()).send();
    }

    /// Counts a statement that failed.
    pub fn count_failure(&self, route: &str, error: &Failure) {
        let code = format!("{:?}", error.code);
        let cause = format!("{:?}", error.cause);
        let metric = self.client.count_with_tags("statement_failures", 1);
        let route = label(route);
        let metric = metric.with_tag("route", &route).with_tag("code", &code);
        metric.with_tag("cause", &cause).send();
    }
    /// Records the wait of a statement for a slot at a member, and how far the wait that was
    /// expected when it arrived was below or above it.
    pub fn record_wait(&self, class: u32, waited: Duration, expected: Duration) {
        let class = class.min(MAX_CLASS_LABEL).to_string();
        let metric = self
            .client
            .histogram_with_tags("admission_wait_micros", micros(waited));
        metric.with_tag("class", &class).send();
        let (direction, error) = match waited.checked_sub(expected) {
            Some(error) => ("low", error),
            None => ("high", expected.saturating_sub(waited)),
        };
        let metric = self
            .client
            .histogram_with_tags("admission_estimate_error_micros", micros(error));
        metric.with_tag("direction", direction).send();
    }

    /// Counts a statement that got no slot at a member.
    pub fn count_refusal(&self, refusal: Refusal, class: u32) {
        let class = class.min(MAX_CLASS_LABEL).to_string();
        let metric = self.client.count_with_tags("admission_refusals", 1);
        let metric = metric.with_tag("class", &class);
        metric.with_tag("cause", refusal.name()).send();
    }

    /// Counts statements that were refused because of their expected wait and could have run.
    pub fn count_wrong_refusals(&self, count: u64) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        let metric = self
            .client
            .count_with_tags("admission_wrong_refusals", count);
        metric.send();
    }

    /// Counts a client that was refused or closed because of a limit.
    pub fn count_client_refusal(&self, cause: ClientRefusal) {
        let cause = format!("{cause:?}");
        let metric = self.client.count_with_tags("client_refusals", 1);
        metric.with_tag("cause", &cause).send();
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Value of a label for a name that may hold any characters.
fn label(name: &str) -> String {
    utf8_percent_encode(name, ENCODED_IN_LABELS).to_string()
}
