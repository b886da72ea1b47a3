//! Tests of the limits on log volume.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use magnoliahatch_gateway::log_limit;
use magnoliahatch_gateway::log_limit::LogLimit;
use magnoliahatch_gateway::log_queue::LogQueue;
use magnoliahatch_gateway::log_queue::MAX_LINE_BYTES;
use magnoliahatch_gateway::log_queue::MAX_WAITING_BYTES;
use magnoliahatch_gateway::log_text::LogText;
use magnoliahatch_gateway::logs;

/// Approximate length in bytes of a log line with all its fields.
const LINE_BYTES: u64 = 300;

/// Very many refusals in a short time. The log volume must stay under 1 MB per minute, and other
/// events must still be logged.
#[test]
fn frequent_event_is_limited_and_does_not_suppress_others() {
    let limit = LogLimit::default();
    let mut lines = 0;
    for millis in 0..60_000_u64 {
        let now = Duration::from_millis(100_000 + millis);
        for _ in 0..3 {
            lines += u64::from(limit.admit(661, now));
        }
    }
    assert!(lines * LINE_BYTES < 1_000_000, "{lines} lines in a minute");
    assert!(lines > 400, "{lines} lines in a minute");
    assert!(limit.admit(650, Duration::from_millis(160_000)));
}

/// Only a small fraction of the requests may be sampled, but not almost none.
#[test]
fn small_fraction_of_the_requests_is_sampled() {
    let sampled = (0..64_000_u32)
        .filter(|n| logs::sampled(format!("{:016x}", n.wrapping_mul(2_654_435_761)).as_bytes()))
        .count();
    assert!((500..2000).contains(&sampled), "{sampled} of 64000");
}

/// A log whose reader takes nothing until it is opened.
#[derive(Debug, Clone, Default)]
struct SlowOutput {
    gate: Arc<(Mutex<bool>, Condvar)>,
    written: Arc<AtomicUsize>,
}

impl SlowOutput {
    fn open(&self) {
        *self.gate.0.lock().expect("the lock") = true;
        self.gate.1.notify_all();
    }
}

impl Write for SlowOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let open = self.gate.0.lock().expect("the lock");
        drop(
            self.gate
                .1
                .wait_while(open, |open| !*open)
                .expect("the lock"),
        );
        self.written.fetch_add(line.len(), Ordering::Relaxed);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that fill the memory while the log's reader is slow, since they were counted by
/// number and not by size (review/13). Once it reads again, lines are written again.
#[test]
fn waiting_lines_are_bounded_by_their_size() {
    let output = SlowOutput::default();
    let (mut queue, guard) = LogQueue::spawn(output.clone());
    for length in [40, 300, MAX_LINE_BYTES] {
        let line = vec![b'x'; length];
        for _ in 0..10_000 {
            queue.write_all(&line).expect("a line");
            assert!(queue.waiting() <= MAX_WAITING_BYTES);
        }
    }
    assert!(queue.waiting() > MAX_WAITING_BYTES / 2);
    assert!(log_limit::dropped_lines() > 10_000);
    output.open();
    while queue.waiting() > 0 {
        std::thread::yield_now();
    }
    let before = output.written.load(Ordering::Relaxed);
    queue.write_all(b"again").expect("a line");
    drop(guard);
    assert_eq!(output.written.load(Ordering::Relaxed), before + 5);
}

/// Guards against a line of any length: it is dropped whole, since a part of it would not be readable.
#[test]
fn line_beyond_the_limit_is_dropped() {
    let output = SlowOutput::default();
    output.open();
    let (mut queue, guard) = LogQueue::spawn(output.clone());
    queue
        .write_all(&vec![b'x'; MAX_LINE_BYTES + 1])
        .expect("a line");
    assert_eq!(queue.waiting(), 0);
    drop(guard);
    assert_eq!(output.written.load(Ordering::Relaxed), 0);
}

/// Guards against ids that make a log line as long as the largest message (review/13).
#[test]
fn long_text_is_shown_in_part() {
    assert_eq!(LogText(b"5c0e7a21d94b36f8").to_string(), "5c0e7a21d94b36f8");
    let long = LogText(&[1; 1 << 20]).to_string();
    assert!(long.len() < 200, "{} bytes", long.len());
    assert!(long.ends_with("(1048576 bytes)"), "{long}");
    // A character that is cut in two must not be an error.
    assert!(!LogText("ä".repeat(200).as_bytes()).to_string().is_empty());
}
