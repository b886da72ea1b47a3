//! The message with which a host sends its counts to an aggregator.

use std::time::Duration;

use magnoliahatch_core::ids::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::model::usage_batch::UsageBatch;

/// Batches that the aggregator has not acknowledged, with the sender's clocks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UsageMessage {
    pub incarnation: Incarnation,
    /// Monotonic clock of the sender when its process started.
    pub started: Duration,
    /// Monotonic clock of the sender when the message was sent.
    pub sent: Duration,
    /// Wall clock of the sender at the same time, since the Unix epoch.
    pub wall: Duration,
    pub batches: Vec<UsageBatch>,
}
