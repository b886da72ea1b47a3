//! Limits the rate of log lines of each event.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::token_bucket::TokenBucket;
use tracing::Event;
use tracing::Metadata;
use tracing::field::Field;
use tracing::field::Visit;
use tracing_subscriber::layer::Context;
use tracing_subscriber::layer::Filter;

use crate::clock;

/// Log lines of one event per second. With the burst, a flood of refusals stays under 1 MB per
/// minute at about 300 bytes per line.
const LINES_PER_SECOND: f64 = 8.0;
/// Log lines of one event that may be written in a burst.
const BURST_LINES: f64 = 30.0;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of log lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Counts a log line that is dropped.
pub fn count_dropped_line() {
    DROPPED.fetch_add(1, Ordering::Relaxed);
}

/// A filter that limits the rate of each event number.
#[derive(Debug, Default)]
pub struct LogLimit {
    buckets: Mutex<BTreeMap<u64, TokenBucket>>,
}

impl LogLimit {
    /// Whether a line of this event may be written now.
    pub fn admit(&self, number: u64, now: Duration) -> bool {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        let bucket = buckets.entry(number).or_insert_with(|| {
            let filled = now.saturating_sub(Duration::from_secs(60));
            let mut bucket = TokenBucket::empty(filled);
            bucket.resize(Amount::new(LINES_PER_SECOND, BURST_LINES), filled);
            bucket
        });
        bucket.take(now)
    }
}

impl<S> Filter<S> for LogLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let mut number = EventNumber(0);
        event.record(&mut number);
        let admitted = self.admit(number.0, clock::now());
        if !admitted {
            count_dropped_line();
        }
        admitted
    }
}

/// Reads the number of an event from its fields.
struct EventNumber(u64);

impl Visit for EventNumber {
    fn record_i64(&mut self, field: &Field, value: i64) {
        if field.name() == "event" {
            self.0 = value.unsigned_abs();
        }
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "event" {
            self.0 = value;
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn fmt::Debug) {}
}
