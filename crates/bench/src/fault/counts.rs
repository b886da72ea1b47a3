//! Traffic counters of a link.

use std::sync::atomic::AtomicU64;

/// Traffic counters of a link since its start.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections or flows accepted; also the next connection number.
    pub accepted: AtomicU64,
    pub open: AtomicU64,
    /// Bytes delivered in both directions.
    pub delivered: AtomicU64,
    /// Bytes discarded by cuts.
    pub discarded: AtomicU64,
}
