//! Log lines on standard output that never block the program.

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::Layer;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::log_limit::LogLimit;

/// Lines that wait to be written; further ones are dropped.
const QUEUE_LINES: usize = 4096;
/// One request in this many has its successful steps logged.
const SAMPLE: u32 = 64;

/// Installs the global subscriber. The writer ends when the guard is dropped.
pub fn init(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(filter));
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(writer)
        .with_filter(LogLimit::default());
    // A second call in one process, as in tests, keeps the first subscriber.
    let _ = tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init();
    guard
}

/// Whether the successful steps of a request are logged. All hosts decide alike, so that a sampled
/// request is whole.
pub fn sampled(id: &[u8]) -> bool {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let hash = id
        .iter()
        .fold(OFFSET, |h, b| (h ^ u32::from(*b)).wrapping_mul(PRIME));
    (hash >> 8).is_multiple_of(SAMPLE)
}
