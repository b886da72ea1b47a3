//! Tracks which hosts request tokens of an organisation's rate limit.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;

/// Time without a request after which a busy host may be partitioned and using its own share of the
/// rate. Also the window in which requests are counted.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// Requests in a window from which a host counts as busy. A host with fewer may be silent just
/// because it has no clients of the organisation.
const BUSY_REQUESTS: u32 = 5;
/// Hosts without a request for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct Requester {
    last_request: Duration,
    window_start: Duration,
    requests: u32,
    was_busy: bool,
}

/// Hosts that requested tokens of one organisation, and when they last did.
#[derive(Debug, Default)]
pub struct RequestingHosts {
    hosts: BTreeMap<HostId, Requester>,
}

impl RequestingHosts {
    /// Records a request of a host.
    pub fn record(&mut self, host: &str, now: Duration) {
        if !self.hosts.contains_key(host) {
            self.hosts
                .retain(|_, c| now.saturating_sub(c.last_request) < FORGET_AFTER);
        }
        let requester = self.hosts.entry(host.to_owned()).or_insert(Requester {
            last_request: now,
            window_start: now,
            requests: 0,
            was_busy: false,
        });
        if now.saturating_sub(requester.window_start) >= SILENCE_LIMIT {
            requester.was_busy = requester.requests >= BUSY_REQUESTS;
            requester.window_start = now;
            requester.requests = 0;
        }
        requester.requests += 1;
        requester.last_request = now;
    }

    /// Fraction of the rate that may be granted while there are `host_count` hosts. A busy host
    /// that has gone silent may be partitioned and using its own share, so that share is not
    /// granted.
    pub fn share(&self, host_count: u32, now: Duration) -> f64 {
        let silent = self.hosts.values().filter(|c| {
            let age = now.saturating_sub(c.last_request);
            (c.was_busy || c.requests >= BUSY_REQUESTS)
                && age >= SILENCE_LIMIT
                && age < FORGET_AFTER
        });
        let silent = u32::try_from(silent.count())
            .unwrap_or(u32::MAX)
            .min(host_count);
        1.0 - f64::from(silent) / f64::from(host_count.max(1))
    }
}
