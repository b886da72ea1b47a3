//! Traffic counters of a link.

use std::sync::atomic::AtomicU64;

/// Traffic counters of a link since its start.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Connections (TCP) or flows (UDP) accepted, which is also the number of the next one.
    pub accepted: AtomicU64,
    /// Connections or flows open now.
    pub open: AtomicU64,
    /// Bytes delivered in both directions.
    pub delivered: AtomicU64,
    /// Bytes discarded by a cut. For UDP also datagrams lost to a failed send, a missing target or a
    /// full queue, except for a full queue from the target to the client.
    pub discarded: AtomicU64,
}
