//! Remembers which hosts take tokens of an organisation's rate.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;

/// Silence after which a host that took tokens before may be using its own part of the rate.
const SILENCE: Duration = Duration::from_millis(1200);
/// A host that has been silent this long takes part no longer.
const MEMORY: Duration = Duration::from_secs(20);

/// Hosts that called, and when they did last.
#[derive(Debug, Default)]
pub struct Callers {
    last: BTreeMap<HostId, Duration>,
}

impl Callers {
    pub fn record(&mut self, host: &str, now: Duration) {
        if let Some(last) = self.last.get_mut(host) {
            *last = now;
        } else {
            self.last.insert(host.to_owned(), now);
        }
        self.last.retain(|_, at| now.saturating_sub(*at) < MEMORY);
    }

    /// Part of the rate that may be granted while `all` hosts exist. A host that took tokens and
    /// has gone silent may be cut off and use its own part.
    pub fn share(&self, all: u32, now: Duration) -> f64 {
        let silent = self.last.values().filter(|at| {
            let age = now.saturating_sub(**at);
            age >= SILENCE && age < MEMORY
        });
        let silent = u32::try_from(silent.count()).unwrap_or(u32::MAX).min(all);
        1.0 - f64::from(silent) / f64::from(all.max(1))
    }
}
