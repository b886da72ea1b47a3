//! Metrics, sent to a statsd server.

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

/// Maximum number of organisations with their own series. Any others share one, so that names sent
/// by clients cannot create an unbounded number of series.
const MAX_ORGANISATION_SERIES: usize = 64;
const OTHERS_SERIES: &str = "others";

/// Metrics of the data path.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    organisations: Mutex<BTreeSet<String>>,
}

impl Metrics {
    /// Sends to the configured address, or discards the metrics without settings.
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

    /// Sends to the given sink.
    pub fn with_sink(
        prefix: &str,
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self {
            client: StatsdClient::from_sink(prefix, sink),
            organisations: Mutex::default(),
        }
    }

    /// Records the duration of a completed request and whether the primary or a replica served it.
    pub fn record_request(&self, organisation: &str, member: &str, time: Duration) {
        let organisation = self.organisation_series(organisation);
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = self
            .client
            .histogram_with_tags("request_micros", micros)
            .with_tag("organisation", &organisation)
            .with_tag("member", member)
            .try_send();
    }

    /// Counts an error that the daemon itself returned to a client.
    pub fn count_refusal(&self, organisation: &str, code: &str) {
        let organisation = self.organisation_series(organisation);
        let _ = self
            .client
            .count_with_tags("refusals", 1)
            .with_tag("organisation", &organisation)
            .with_tag("code", code)
            .try_send();
    }

    /// Increments a counter of the data path.
    pub fn increment(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    fn organisation_series(&self, organisation: &str) -> String {
        let mut known = self
            .organisations
            .lock()
            .expect("no holder of this lock panics");
        if !known.contains(organisation) {
            if known.len() >= MAX_ORGANISATION_SERIES {
                return OTHERS_SERIES.to_owned();
            }
            known.insert(organisation.to_owned());
        }
        organisation.to_owned()
    }
}
