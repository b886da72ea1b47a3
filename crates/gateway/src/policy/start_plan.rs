//! Decides how a host that starts gets its first view. When a whole fleet starts, the relays of each
//! data centre read the store and the other hosts ask them.

use magnoliahatch_core::ids::HostId;

use crate::policy::homes::Candidate;
use crate::policy::view_tiers;

/// In a data centre with at most this many hosts each reads the store, which is faster than to ask
/// others.
const MAX_READING_HOSTS: usize = 4;

/// How a host gets its first view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartPlan {
    ReadStore,
    /// Ask these hosts first.
    AskPeers(Vec<HostId>),
}

/// Name after which the part of the list of hosts is read that likely contains the other hosts of a
/// data centre. Hosts are usually numbered within it, and any other part serves as well.
pub fn page_start(host: &str) -> &str {
    let end = host.rfind('-').map_or(0, |at| at + 1);
    &host[..end]
}

/// Plans the start of the host `own` from the known hosts of its data centre.
pub fn plan(own: &str, local: &[Candidate]) -> StartPlan {
    if local.len() <= MAX_READING_HOSTS {
        return StartPlan::ReadStore;
    }
    let readers = view_tiers::relays(local.iter());
    if readers.iter().any(|host| host == own) {
        return StartPlan::ReadStore;
    }
    StartPlan::AskPeers(readers)
}
