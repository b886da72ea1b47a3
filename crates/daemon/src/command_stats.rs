//! Statistics of the platform commands that this process has called.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct CommandStats {
    calls: AtomicU64,
    opened: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

/// Counter values at one point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommandSnapshot {
    pub calls: u64,
    /// Control connections opened.
    pub opened: u64,
    /// Bytes of protocol messages, without TCP and IP headers.
    pub sent_bytes: u64,
    pub received_bytes: u64,
}

/// Statistics of the whole process, since control connections are opened in several modules that
/// share no other state.
pub(crate) static COMMAND_STATS: CommandStats = CommandStats {
    calls: AtomicU64::new(0),
    opened: AtomicU64::new(0),
    sent_bytes: AtomicU64::new(0),
    received_bytes: AtomicU64::new(0),
};

impl CommandStats {
    pub(crate) fn on_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn on_opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn on_traffic(&self, sent: u64, received: u64) {
        self.sent_bytes.fetch_add(sent, Ordering::Relaxed);
        self.received_bytes.fetch_add(received, Ordering::Relaxed);
    }

    pub fn snapshot(&self) -> CommandSnapshot {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CommandSnapshot {
            calls: read(&self.calls),
            opened: read(&self.opened),
            sent_bytes: read(&self.sent_bytes),
            received_bytes: read(&self.received_bytes),
        }
    }
}
