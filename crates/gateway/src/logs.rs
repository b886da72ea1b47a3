//! Logging to standard output without blocking the program.

use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::Layer;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::log_limit::LogLimit;
use crate::log_queue::LogQueue;

/// The successful steps of one request in this many are logged.
const SAMPLE_INTERVAL: u32 = 64;

/// Installs the global log subscriber. Dropping the guard flushes and stops the writer.
pub fn init(filter: &str) -> WorkerGuard {
    let (queue, guard) = LogQueue::spawn(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(filter));
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(move || queue.clone())
        .with_filter(LogLimit::default());
    // On a second call in the same process, as in tests, the first subscriber stays.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init();
    guard
}

/// Whether the successful steps of a request are logged. The decision depends only on the request's
/// id, so that all hosts log the steps of the same requests.
pub fn sampled(id: &[u8]) -> bool {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let hash = id
        .iter()
        .fold(OFFSET, |h, b| (h ^ u32::from(*b)).wrapping_mul(PRIME));
    (hash >> 8).is_multiple_of(SAMPLE_INTERVAL)
}
