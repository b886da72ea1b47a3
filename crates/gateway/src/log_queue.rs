//! Log lines that wait to be written.
//!
//! Lines are written by a thread of their own, so that a slow reader of the log does not hold up the
//! program. They count by their size, since one event may have a much longer line than another.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

use crate::log_limit;

/// Bytes of lines that may wait. Further lines are dropped and counted.
pub const MAX_WAITING_BYTES: usize = 1 << 20;
/// Longest line, in bytes. Longer ones are dropped and counted.
pub const MAX_LINE_BYTES: usize = 16 << 10;
/// Bytes that a line counts for at least, with its place in the queue.
const MIN_LINE_COST: usize = 256;

/// The queue; clones share it.
#[derive(Debug, Clone)]
pub struct LogQueue {
    lines: NonBlocking,
    waiting: Arc<AtomicUsize>,
}

impl LogQueue {
    /// Starts the thread that writes to `output`. Dropping the guard flushes and stops it.
    pub fn spawn<W: Write + Send + 'static>(output: W) -> (Self, WorkerGuard) {
        let waiting = Arc::new(AtomicUsize::new(0));
        let output = CountedOutput {
            output,
            waiting: waiting.clone(),
        };
        let (lines, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_WAITING_BYTES / MIN_LINE_COST)
            .finish(output);
        (Self { lines, waiting }, guard)
    }

    /// Bytes that wait now.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}

impl Write for LogQueue {
    /// Queues one line or drops it; it is never an error for the program.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let cost = cost(line);
        let before = self.waiting.fetch_add(cost, Ordering::Relaxed);
        if line.len() > MAX_LINE_BYTES || before + cost > MAX_WAITING_BYTES {
            self.waiting.fetch_sub(cost, Ordering::Relaxed);
            log_limit::count_dropped_line();
            return Ok(line.len());
        }
        self.lines.write(line)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn cost(line: &[u8]) -> usize {
    line.len().max(MIN_LINE_COST)
}

/// Takes lines out of the count once they are written.
struct CountedOutput<W> {
    output: W,
    waiting: Arc<AtomicUsize>,
}

impl<W: Write> Write for CountedOutput<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = self.output.write_all(line);
        self.waiting.fetch_sub(cost(line), Ordering::Relaxed);
        written.map(|()| line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.output.flush()
    }
}
