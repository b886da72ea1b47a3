//! Counters of a fleet and their increase over a window.

use std::collections::BTreeMap;

use crate::capacity::error::CapacityError;
use crate::harness::fleet::Fleet;
use crate::store::counts::CallCounts;

/// Counters of one daemon by name.
pub type Counters = BTreeMap<String, f64>;

/// Values by name.
pub type Values = BTreeMap<&'static str, f64>;

/// Metrics that are gauges. They are averaged, not reported as rates.
const GAUGES: [&str; 3] = ["resident_bytes", "sessions", "databases"];

/// Counters of all daemons and of the store at one time.
#[derive(Debug, Clone)]
pub struct Sample {
    daemons: Vec<Counters>,
    store: CallCounts,
}

/// Reads counters over HTTP, directly and not through the fault proxy.
#[derive(Debug)]
pub struct CounterReader {
    http: reqwest::Client,
    daemons: Vec<String>,
    store: String,
}

impl CounterReader {
    pub fn open(fleet: &mut Fleet) -> Result<Self, CapacityError> {
        let hosts = fleet.plan().hosts.clone();
        let daemons = hosts.iter().map(|host| {
            let admin = fleet.process(&host.name)?.listen("admin")?;
            Ok(format!("http://{admin}"))
        });
        Ok(Self {
            http: reqwest::Client::builder().no_proxy().build()?,
            daemons: daemons.collect::<Result<_, CapacityError>>()?,
            store: format!(
                "http://{}",
                fleet.process("standin-store")?.listen("store")?
            ),
        })
    }

    /// Reads the current counters.
    pub async fn read(&self) -> Result<Sample, CapacityError> {
        let daemons = self.daemons.iter().map(|address| self.daemon(address));
        let counts = self.http.get(format!("{}/counts", self.store)).send();
        Ok(Sample {
            daemons: futures::future::try_join_all(daemons).await?,
            store: counts.await?.error_for_status()?.json().await?,
        })
    }

    /// Returns the lowest configuration revision in force at any daemon.
    pub async fn revision(&self) -> Result<u64, CapacityError> {
        let sample = self.read().await?;
        let revisions = sample.daemons.iter().map(|counters| counters["revision"]);
        Ok(revisions.fold(f64::MAX, f64::min) as u64)
    }

    /// Sends a POST request to the administration API of the first daemon.
    pub async fn post(&self, path: &str, body: &serde_json::Value) -> Result<(), CapacityError> {
        let url = format!("{}{path}", self.daemons[0]);
        let response = self.http.post(url).json(body).send().await?;
        response.error_for_status()?;
        Ok(())
    }

    async fn daemon(&self, address: &str) -> Result<Counters, CapacityError> {
        let response = self.http.get(format!("{address}/metrics")).send().await?;
        let text = response.error_for_status()?.text().await?;
        let counter = |line: &str| {
            let (name, value) = line.split_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        let counters = text.lines().map(|line| {
            counter(line).ok_or_else(|| CapacityError::Counter {
                line: line.to_owned(),
            })
        });
        counters.collect()
    }
}

impl Sample {
    /// Returns the increase of a counter since an earlier sample, summed over all daemons.
    pub fn increase(&self, earlier: &Self, name: &str) -> f64 {
        let samples = self.daemons.iter().zip(&earlier.daemons);
        samples
            .map(|(after, before)| value(after, name) - value(before, name))
            .sum()
    }

    /// Returns the mean of a metric over the daemons.
    pub fn mean(&self, name: &str) -> f64 {
        let sum: f64 = self
            .daemons
            .iter()
            .map(|counters| value(counters, name))
            .sum();
        sum / self.daemons.len() as f64
    }

    /// Returns rates per second since an earlier sample: means per daemon, and totals of the store.
    /// Gauges are returned as their mean over the daemons.
    pub fn rates(&self, earlier: &Self) -> Values {
        let daemon_seconds = self.increase(earlier, "uptime_us") / 1e6;
        let seconds = daemon_seconds / self.daemons.len() as f64;
        let rate = |name: &str| self.increase(earlier, name) / daemon_seconds;
        let (calls, before) = (self.store, earlier.store);
        let store = |after: u64, before: u64| (after - before) as f64 / seconds;
        let mut values = Values::from([
            ("control_percent", rate("control_cpu_us") / 1e4),
            ("process_percent", rate("process_cpu_us") / 1e4),
            ("mesh_frames_s", rate("mesh_sent_frames")),
            ("mesh_wire_bytes_s", rate("mesh_wire_bytes")),
            ("mesh_body_bytes_s", rate("mesh_sent_bytes")),
            ("verb_calls_s", rate("verb_calls")),
            (
                "verb_bytes_s",
                rate("verb_sent_bytes") + rate("verb_received_bytes"),
            ),
            ("store_calls_s", rate("store_calls")),
            (
                "store_bytes_s",
                rate("store_sent_bytes") + rate("store_received_bytes"),
            ),
            ("fleet_store_reads_s", store(calls.reads, before.reads)),
            ("fleet_store_writes_s", store(calls.writes, before.writes)),
            (
                "fleet_store_watches_s",
                store(calls.watches, before.watches),
            ),
        ]);
        values.extend(GAUGES.map(|name| (name, self.mean(name))));
        values
    }
}

fn value(counters: &Counters, name: &str) -> f64 {
    counters.get(name).copied().unwrap_or(0.0)
}
