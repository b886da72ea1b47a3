//! Metrics, sent as statsd packets.

use std::collections::BTreeSet;
use std::io;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::CountedExt;
use cadence::Histogrammed;
use cadence::MetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;

use crate::settings;

/// Organisations with their own series; others share one, so that names sent by callers cannot
/// create series without bound.
const ORGANISATIONS_LIMIT: usize = 64;
const OTHERS: &str = "others";

/// Metrics of the data path.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    organisations: Mutex<BTreeSet<String>>,
}

impl Metrics {
    /// Sends to the configured address, or nowhere.
    pub fn open(settings: Option<&settings::Metrics>) -> io::Result<Self> {
        let Some(settings) = settings else {
            return Ok(Self::with_sink("magnoliahatch", NopMetricSink));
        };
        let local = if settings.statsd.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(settings.statsd, socket)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let sink = QueuingMetricSink::from(sink);
        Ok(Self::with_sink(&settings.prefix, sink))
    }

    /// Sends to a sink.
    pub fn with_sink(
        prefix: &str,
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self {
            client: StatsdClient::from_sink(prefix, sink),
            organisations: Mutex::default(),
        }
    }

    /// Records a completed request: its time, and whether a replica or the primary served it.
    pub fn request(&self, organisation: &str, member: &str, time: Duration) {
        let organisation = self.series(organisation);
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = self
            .client
            .histogram_with_tags("request_micros", micros)
            .with_tag("organisation", &organisation)
            .with_tag("member", member)
            .try_send();
    }

    /// Counts an error composed by the daemon.
    pub fn refusal(&self, organisation: &str, code: &str) {
        let organisation = self.series(organisation);
        let _ = self
            .client
            .count_with_tags("refusals", 1)
            .with_tag("organisation", &organisation)
            .with_tag("code", code)
            .try_send();
    }

    /// Counts an event of the data path.
    pub fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    fn series(&self, organisation: &str) -> String {
        let mut known = self
            .organisations
            .lock()
            .expect("no holder of this lock panics");
        if !known.contains(organisation) {
            if known.len() >= ORGANISATIONS_LIMIT {
                return OTHERS.to_owned();
            }
            known.insert(organisation.to_owned());
        }
        organisation.to_owned()
    }
}
