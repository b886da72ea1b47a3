//! Chooses the reader, the host that watches the platform's store on behalf of all hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

/// Key of the rendezvous hash that chooses the reader.
const STORE_WATCHER_KEY: &str = "store-reader";
/// Number of hosts that are tried in order. More than are likely to fail together, unless most
/// hosts fail; each remaining host then reads the store itself.
const CANDIDATE_COUNT: usize = 4;
/// Time for which a host that failed as a reader is skipped.
const SKIP_TIME: Duration = Duration::from_secs(4);

/// Returns the hosts that may act as reader, in order of preference.
pub fn candidates(hosts: &[HostId]) -> Vec<HostId> {
    let mut remaining: Vec<&str> = hosts.iter().map(String::as_str).collect();
    let mut chosen = Vec::new();
    while chosen.len() < CANDIDATE_COUNT {
        let Some(next) = rendezvous::owner(STORE_WATCHER_KEY, remaining.iter().copied()) else {
            break;
        };
        chosen.push(next.to_owned());
        remaining.retain(|host| *host != next);
    }
    chosen
}

/// Remembers which candidates failed recently: they were unreachable, or their view was stale.
#[derive(Debug, Default)]
pub struct StoreWatcherChoice {
    failed: BTreeMap<HostId, Duration>,
}

impl StoreWatcherChoice {
    /// Returns the candidate to use now, or `None` if all failed recently.
    pub fn choose(&mut self, candidates: Vec<HostId>, now: Duration) -> Option<HostId> {
        self.failed
            .retain(|_, at| now.saturating_sub(*at) < SKIP_TIME);
        let mut remaining = candidates.into_iter();
        remaining.find(|host| !self.failed.contains_key(host))
    }

    /// Records that a host failed as a reader.
    pub fn on_failure(&mut self, host: HostId, now: Duration) {
        self.failed.insert(host, now);
    }
}
