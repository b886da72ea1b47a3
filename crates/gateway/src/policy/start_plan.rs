//! Decides how a host that starts gets its first view. When a whole fleet starts, a few hosts read
//! the store and the others ask them.

use magnoliahatch_core::ids::HostId;

use crate::policy::duty_hosts;
use crate::policy::homes::Candidate;
use crate::policy::store_watchers;

/// In a fleet of at most this many hosts each reads the store, which is faster than to ask others.
const MAX_READING_HOSTS: usize = 24;

/// How a host gets its first view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartPlan {
    ReadStore,
    /// Ask these hosts first.
    AskPeers(Vec<HostId>),
}

/// Plans the start of the host `own` from the first page of the list of hosts; `complete` if there
/// is no further page.
pub fn plan(own: &str, page: &[Candidate], complete: bool) -> StartPlan {
    if complete && page.len() <= MAX_READING_HOSTS {
        return StartPlan::ReadStore;
    }
    let largest = duty_hosts::largest(page.iter()).map(|h| h.host.as_str());
    let readers = store_watchers::candidates(largest);
    if readers.iter().any(|host| host == own) {
        return StartPlan::ReadStore;
    }
    StartPlan::AskPeers(readers)
}
