//! Counts of statements that a host sends to the aggregators.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

/// Number of a batch, which increases within one incarnation of the sender.
pub type BatchNumber = u64;
/// Number of a bucket, counted from the first one of its batch.
pub type BucketOffset = u32;

/// Counts of statements by organisation and by the bucket of time in which they were sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBatch {
    pub number: BatchNumber,
    /// Middle of the first bucket on the sender's monotonic clock.
    pub first: Duration,
    pub counts: BTreeMap<OrganisationId, BTreeMap<BucketOffset, u32>>,
}
