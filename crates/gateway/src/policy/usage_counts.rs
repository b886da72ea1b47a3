//! Counts of the statements that this host sent to members, until the aggregators have them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::OrganisationId;

use crate::model::usage_batch::BatchNumber;
use crate::model::usage_batch::BucketOffset;
use crate::model::usage_batch::UsageBatch;

/// Length of a bucket. A bucket counts in the window that holds its middle, so a count can be wrong
/// by what runs in half a bucket at each end of a window.
const BUCKET: Duration = Duration::from_millis(25);
/// Age up to which batches are kept. An aggregator that is new gets all of them.
pub const RETENTION: Duration = Duration::from_secs(30);

/// A process that counts.
pub type Aggregator = (HostId, Incarnation);

#[derive(Debug)]
struct KeptBatch {
    batch: UsageBatch,
    cut: Duration,
    acknowledged: BTreeSet<Aggregator>,
}

/// Counts that are not in a batch yet, and the batches of the last 30 s.
#[derive(Debug, Default)]
pub struct UsageCounts {
    /// By organisation and by bucket of this host's monotonic clock.
    open: BTreeMap<OrganisationId, BTreeMap<u64, u32>>,
    batches: VecDeque<KeptBatch>,
    cut_batches: BatchNumber,
}

impl UsageCounts {
    /// Counts a statement that was sent to a member at a time of this host's monotonic clock.
    pub fn count(&mut self, organisation: &str, sent: Duration) {
        let bucket = sent.as_millis() / BUCKET.as_millis();
        let bucket = u64::try_from(bucket).unwrap_or(u64::MAX);
        if !self.open.contains_key(organisation) {
            self.open.insert(organisation.to_owned(), BTreeMap::new());
        }
        if let Some(buckets) = self.open.get_mut(organisation) {
            *buckets.entry(bucket).or_default() += 1;
        }
    }

    /// Makes a batch of the open counts, and drops the batches that are too old. Returns the number
    /// of statements in those that no aggregator has acknowledged.
    pub fn cut(&mut self, now: Duration) -> u64 {
        let mut lost = 0;
        while let Some(oldest) = self.batches.front()
            && now.saturating_sub(oldest.cut) > RETENTION
        {
            if oldest.acknowledged.is_empty() {
                lost += statements(&oldest.batch);
            }
            self.batches.pop_front();
        }
        let first = self.open.values().filter_map(|b| b.keys().next()).min();
        let Some(first) = first.copied() else {
            return lost;
        };
        let offset = |bucket: u64| BucketOffset::try_from(bucket - first).unwrap_or(u32::MAX);
        let counts = std::mem::take(&mut self.open).into_iter();
        let counts = counts.map(|(organisation, buckets)| {
            let buckets = buckets.into_iter().map(|(b, count)| (offset(b), count));
            (organisation, buckets.collect())
        });
        let batch = UsageBatch {
            number: self.cut_batches,
            first: bucket_middle(first),
            counts: counts.collect(),
        };
        self.cut_batches += 1;
        self.batches.push_back(KeptBatch {
            batch,
            cut: now,
            acknowledged: BTreeSet::new(),
        });
        lost
    }

    /// The oldest batches that an aggregator has not acknowledged, at most `count`.
    pub fn pending(&self, aggregator: &Aggregator, count: usize) -> Vec<UsageBatch> {
        let batches = self.batches.iter();
        let pending = batches.filter(|kept| !kept.acknowledged.contains(aggregator));
        let oldest = pending.take(count);
        oldest.map(|kept| kept.batch.clone()).collect()
    }

    pub fn on_acknowledged(&mut self, aggregator: &Aggregator, numbers: &BTreeSet<BatchNumber>) {
        for kept in &mut self.batches {
            if numbers.contains(&kept.batch.number) {
                kept.acknowledged.insert(aggregator.clone());
            }
        }
    }
}

/// Time of a bucket of a batch on the sender's monotonic clock.
pub fn bucket_time(batch: &UsageBatch, offset: BucketOffset) -> Duration {
    batch.first + BUCKET * offset
}

fn bucket_middle(bucket: u64) -> Duration {
    let start = BUCKET.as_millis() as u64 * bucket;
    Duration::from_millis(start) + BUCKET / 2
}

fn statements(batch: &UsageBatch) -> u64 {
    let buckets = batch.counts.values().flat_map(|b| b.values());
    buckets.map(|count| u64::from(*count)).sum()
}
