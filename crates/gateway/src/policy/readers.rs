//! Chooses the host that watches the platform's store for all.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

/// Duty name; its hash places the reader.
const DUTY: &str = "store-reader";
/// Hosts that are tried in order. More than can plausibly fail together without a loss of most
/// hosts, in which case each host reads the store itself.
const CANDIDATES: usize = 4;
/// Time for which a host that failed as a reader is passed over.
const PASSED_OVER: Duration = Duration::from_secs(4);

/// Hosts that may read for all, in the order in which they are asked.
pub fn candidates(hosts: &[HostId]) -> Vec<HostId> {
    let mut left: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let mut chosen = Vec::new();
    while chosen.len() < CANDIDATES {
        let Some(next) = rendezvous::owner(DUTY, left.iter().copied()) else {
            break;
        };
        chosen.push(next.to_owned());
        left.retain(|host| *host != next);
    }
    chosen
}

/// Remembers which candidates failed: not reached, or with an old view of their own.
#[derive(Debug, Default)]
pub struct ReaderChoice {
    failed: BTreeMap<HostId, Duration>,
}

impl ReaderChoice {
    /// The candidate to ask now; none if all failed a moment ago.
    pub fn choose(&mut self, candidates: Vec<HostId>, now: Duration) -> Option<HostId> {
        self.failed
            .retain(|_, at| now.saturating_sub(*at) < PASSED_OVER);
        let mut left = candidates.into_iter();
        left.find(|host| !self.failed.contains_key(host))
    }

    pub fn on_failure(&mut self, host: HostId, now: Duration) {
        self.failed.insert(host, now);
    }
}
