//! Decides how long a host that is stopped waits for its clients.

use std::time::Duration;

/// Fraction of the grace period in which clients are still served. After it no new operation begins.
const SERVE_FRACTION: f64 = 0.4;
/// Fraction of the grace period after which open transactions are rolled back. The contract gives them
/// the first half.
const TRANSACTION_FRACTION: f64 = 0.5;
/// Fraction of the grace period after which the host no longer waits for sessions that run nothing.
const SESSION_FRACTION: f64 = 0.8;
/// Fraction of the grace period after which running statements are given up. The contract protects those
/// that their members answer within the first five sixths. Half of the last sixth is left for
/// delivering these answers, and half for the steps after it.
const STATEMENT_FRACTION: f64 = 11.0 / 12.0;

/// What a host that is stopping still serves.
#[derive(Debug, Clone, Copy, Default)]
pub struct OpenWork {
    /// Sessions, and channels of other hosts' transactions, that may run nothing at present.
    pub sessions: u32,
    /// Statements whose answers have not been sent.
    pub statements: u32,
}

/// Points in time of one stop.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownSchedule {
    /// End of the service to connected clients.
    pub serve: Duration,
    /// When open transactions are rolled back.
    pub transactions: Duration,
    sessions: Duration,
    statements: Duration,
}

impl ShutdownSchedule {
    /// Schedules a stop whose signal came at `signalled`.
    pub fn new(signalled: Duration, grace: Duration) -> Self {
        let after = |fraction| signalled + grace.mul_f64(fraction);
        Self {
            serve: after(SERVE_FRACTION),
            transactions: after(TRANSACTION_FRACTION),
            sessions: after(SESSION_FRACTION),
            statements: after(STATEMENT_FRACTION),
        }
    }

    /// Whether the host may end now.
    pub fn may_end(&self, now: Duration, open: OpenWork) -> bool {
        let statements_done = open.statements == 0 || now >= self.statements;
        let sessions_done = open.sessions == 0 || now >= self.sessions;
        statements_done && sessions_done
    }
}
