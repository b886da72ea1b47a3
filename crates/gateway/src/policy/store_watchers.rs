//! Chooses the host that watches the platform's store on behalf of all hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

/// Key of the rendezvous hash that chooses the store watcher.
const STORE_WATCHER_KEY: &str = "store-reader";
/// Number of hosts that are tried in order. More than are likely to fail together, unless most
/// hosts fail.
const CANDIDATE_COUNT: usize = 4;
/// Time for which a host that failed as a store watcher or relay is skipped.
const SKIP_TIME: Duration = Duration::from_secs(4);

/// Returns the hosts that may act as store watcher, in order of preference.
pub fn candidates<'a>(hosts: impl Iterator<Item = &'a str> + Clone) -> Vec<HostId> {
    rendezvous::ranking(STORE_WATCHER_KEY, hosts, CANDIDATE_COUNT)
}

/// Remembers which candidates failed recently: they were unreachable, or their view was stale.
#[derive(Debug, Default)]
pub struct StoreWatcherChoice {
    failed: BTreeMap<HostId, Duration>,
}

impl StoreWatcherChoice {
    /// Returns the candidate to use now, or `None` if all failed recently.
    pub fn choose<'a>(
        &mut self,
        mut candidates: impl Iterator<Item = &'a HostId>,
        now: Duration,
    ) -> Option<HostId> {
        self.failed
            .retain(|_, at| now.saturating_sub(*at) < SKIP_TIME);
        candidates
            .find(|host| !self.failed.contains_key(*host))
            .cloned()
    }

    /// Records that a host failed.
    pub fn on_failure(&mut self, host: HostId, now: Duration) {
        self.failed.insert(host, now);
    }
}
