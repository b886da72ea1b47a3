//! Remembers which hosts take tokens of an organisation's rate.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;

/// Silence after which a busy host may be cut off and use its own part of the rate. Also the
/// window in which calls are counted.
const SILENCE: Duration = Duration::from_millis(1200);
/// Calls in a window from which a host counts as busy. The silence of others says nothing.
const BUSY_CALLS: u32 = 5;
/// A host that has been silent this long takes part no longer.
const MEMORY: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Caller {
    last: Duration,
    window: Duration,
    calls: u32,
    busy: bool,
}

/// Hosts that called, and when they did last.
#[derive(Debug, Default)]
pub struct Callers {
    hosts: BTreeMap<HostId, Caller>,
}

impl Callers {
    pub fn record(&mut self, host: &str, now: Duration) {
        if !self.hosts.contains_key(host) {
            self.hosts
                .retain(|_, c| now.saturating_sub(c.last) < MEMORY);
        }
        let caller = self.hosts.entry(host.to_owned()).or_insert(Caller {
            last: now,
            window: now,
            calls: 0,
            busy: false,
        });
        if now.saturating_sub(caller.window) >= SILENCE {
            caller.busy = caller.calls >= BUSY_CALLS;
            caller.window = now;
            caller.calls = 0;
        }
        caller.calls += 1;
        caller.last = now;
    }

    /// Part of the rate that may be granted while `all` hosts exist. A busy host that has gone
    /// silent may be cut off and use its own part.
    pub fn share(&self, all: u32, now: Duration) -> f64 {
        let silent = self.hosts.values().filter(|c| {
            let age = now.saturating_sub(c.last);
            (c.busy || c.calls >= BUSY_CALLS) && age >= SILENCE && age < MEMORY
        });
        let silent = u32::try_from(silent.count()).unwrap_or(u32::MAX).min(all);
        1.0 - f64::from(silent) / f64::from(all.max(1))
    }
}
