//! Statistics of the control mesh: frames, bytes and processing time.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::Counted;
use cadence::MetricResult;
use cadence::StatsdClient;

/// Counters since the start of the daemon.
#[derive(Debug, Default)]
pub struct Stats {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    wire_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
    dropped: AtomicU64,
    refused: AtomicU64,
    busy_ns: AtomicU64,
}

/// Counter values at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatsSnapshot {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Bytes of all UDP datagrams sent, including acknowledgements, handshakes and encryption.
    pub wire_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Frames discarded because a peer was unreachable or a queue was full.
    pub dropped: u64,
    /// Rejected frames and connections.
    pub refused: u64,
    /// Time spent encoding and decoding frames, excluding QUIC.
    pub busy: Duration,
}

impl Stats {
    pub(crate) fn on_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn on_wire(&self, bytes: u64) {
        self.wire_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn on_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn on_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn on_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn on_busy(&self, time: Duration) {
        let ns = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
        self.busy_ns.fetch_add(ns, Ordering::Relaxed);
    }

    pub fn snapshot(&self) -> StatsSnapshot {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        StatsSnapshot {
            sent: read(&self.sent),
            sent_bytes: read(&self.sent_bytes),
            wire_bytes: read(&self.wire_bytes),
            received: read(&self.received),
            received_bytes: read(&self.received_bytes),
            dropped: read(&self.dropped),
            refused: read(&self.refused),
            busy: Duration::from_nanos(read(&self.busy_ns)),
        }
    }
}

impl StatsSnapshot {
    /// Sends the increases since `last` as statsd counters.
    pub fn emit(&self, last: &Self, client: &StatsdClient) -> MetricResult<()> {
        let busy = (self.busy - last.busy).as_micros();
        let counters = [
            ("mesh.sent", self.sent - last.sent),
            ("mesh.sent_bytes", self.sent_bytes - last.sent_bytes),
            ("mesh.wire_bytes", self.wire_bytes - last.wire_bytes),
            ("mesh.received", self.received - last.received),
            (
                "mesh.received_bytes",
                self.received_bytes - last.received_bytes,
            ),
            ("mesh.dropped", self.dropped - last.dropped),
            ("mesh.refused", self.refused - last.refused),
            ("mesh.busy_us", u64::try_from(busy).unwrap_or(u64::MAX)),
        ];
        for (name, value) in counters {
            client.count(name, value)?;
        }
        Ok(())
    }
}
