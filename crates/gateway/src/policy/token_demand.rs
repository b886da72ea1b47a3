//! Estimates how many tokens of a rate a host uses before they expire.
//!
//! An organisation's operations may come through hundreds of hosts. A host that asks for more tokens
//! than it uses takes them from the others.

use std::time::Duration;

/// Weight of the newest interval in the moving average.
const SMOOTHING: f64 = 0.3;
/// Most tokens requested at once.
pub const MAX_BATCH: u32 = 8;
/// Fraction of the lifetime of a token in which all tokens of a batch should be used.
const USE_FRACTION: f64 = 0.5;

/// Recent use of one organisation's tokens by this host.
#[derive(Debug, Default)]
pub struct TokenDemand {
    last: Option<Duration>,
    /// Average time between two operations in seconds.
    interval: Option<f64>,
}

impl TokenDemand {
    /// Records an operation.
    pub fn record(&mut self, now: Duration) {
        if let Some(last) = self.last.replace(now) {
            let latest = now.saturating_sub(last).as_secs_f64();
            let interval = self.interval.unwrap_or(latest);
            self.interval = Some(interval + SMOOTHING * (latest - interval));
        }
    }

    /// Number of tokens to request for the present operation and those expected while the tokens
    /// are valid.
    pub fn batch(&self, lifetime: Duration) -> u32 {
        let Some(interval) = self.interval else {
            return 1;
        };
        let expected = lifetime.as_secs_f64() * USE_FRACTION / interval.max(1e-6);
        (1.0 + expected).min(f64::from(MAX_BATCH)) as u32
    }

    /// Number of operations expected while a token that is granted now is valid. Operations that have
    /// stopped arriving are expected less and less often.
    pub fn expected(&self, lifetime: Duration, now: Duration) -> u32 {
        let (Some(interval), Some(last)) = (self.interval, self.last) else {
            return 0;
        };
        let interval = interval.max(now.saturating_sub(last).as_secs_f64());
        (lifetime.as_secs_f64() * USE_FRACTION / interval.max(1e-6)) as u32
    }
}
