//! Log lines on standard output that never block the program.

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

/// Lines that wait to be written; further ones are dropped and counted by the writer.
const QUEUE_LINES: usize = 4096;

/// Installs the global subscriber. The writer ends when the guard is dropped.
pub fn init(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(QUEUE_LINES)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(filter));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer);
    // A second call in one process, as in tests, keeps the first subscriber.
    let _ = subscriber.try_init();
    guard
}
