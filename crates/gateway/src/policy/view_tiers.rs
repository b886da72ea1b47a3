//! Chooses whose copies of the store's objects a host follows.
//!
//! In a large fleet one host watches the store, two relays in each data centre follow it, and the
//! other hosts follow a relay of their own data centre. No host answers more than one data centre,
//! and a change crosses each path between data centres twice.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

use crate::policy::duty_hosts;
use crate::policy::homes::Candidate;
use crate::policy::store_watchers;

/// Up to this many hosts follow the store watcher directly.
const MAX_DIRECT_FOLLOWERS: usize = 24;
/// Relays of a data centre; the second one takes over when the first cannot be reached.
const RELAY_COUNT: usize = 2;
/// Key of the rendezvous hash that chooses the relays.
const RELAY_KEY: &str = "view-relay";
/// Time for which a follower lets the called host hold its request open. The interval and the
/// timeout of the watcher's poll plus the times of both tiers must stay below the age from which a
/// view is stale.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(600);
/// The same for a relay, and for a host that comes after the store watcher.
const RELAY_POLL_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which changes of the list of hosts are gathered before they are passed on, for each
/// host of the fleet. In a rolling restart of a large fleet hosts come and go all the time.
const GATHER_TIME_PER_HOST: Duration = Duration::from_micros(500);

/// Whom one host follows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FollowPlan {
    /// Hosts that may watch the store for all, in order of preference.
    pub watchers: Vec<HostId>,
    /// Relays to follow, in order of preference, before the store watchers.
    pub relays: Vec<HostId>,
    /// How long a request may be held open.
    pub poll_timeout: Duration,
    /// Hosts whose registration this host removes when they have ended.
    pub cleans: Vec<HostId>,
}

/// Plans whom the host `own` of a data centre follows, given the hosts that it believes to be alive
/// and all `registered` hosts with their data centres.
pub fn plan<'a>(
    own: &str,
    data_centre: &str,
    live: &[Candidate],
    registered: impl Iterator<Item = (&'a HostId, &'a str)>,
) -> FollowPlan {
    let largest = duty_hosts::largest(live.iter()).map(|h| h.host.as_str());
    let watchers = store_watchers::candidates(largest);
    let own_relays = relays_of(data_centre, live);
    let is_own = |host: &HostId| host == own;
    let may_replace_watcher = watchers.iter().any(is_own);
    let polls_often = may_replace_watcher || own_relays.iter().any(is_own);
    let cleans = cleaned_hosts(own, &watchers, live, registered);
    FollowPlan {
        relays: if polls_often { Vec::new() } else { own_relays },
        poll_timeout: if polls_often {
            RELAY_POLL_TIMEOUT
        } else {
            LONG_POLL_TIMEOUT
        },
        watchers,
        cleans,
    }
}

/// Returns the hosts whose registration `own` removes when they have ended: those of its data centre
/// if it is the first relay there; those of data centres without a relay if it watches the store.
fn cleaned_hosts<'a>(
    own: &str,
    watchers: &[HostId],
    live: &[Candidate],
    registered: impl Iterator<Item = (&'a HostId, &'a str)>,
) -> Vec<HostId> {
    let mut cleaners: BTreeMap<&str, Option<HostId>> = BTreeMap::new();
    let cleans = registered.filter(|(host, centre)| {
        let cleaner = cleaners.entry(centre).or_insert_with(|| {
            let relay = relays_of(centre, live).into_iter().next();
            relay.or_else(|| watchers.first().cloned())
        });
        cleaner.as_deref() == Some(own) && host.as_str() != own
    });
    cleans.map(|(host, _)| host.clone()).collect()
}

/// Returns the relays of a data centre; none in a fleet that is so small that all hosts follow the
/// store watcher.
fn relays_of(data_centre: &str, live: &[Candidate]) -> Vec<HostId> {
    if live.len() <= MAX_DIRECT_FOLLOWERS {
        return Vec::new();
    }
    relays(live.iter().filter(|h| h.data_centre == data_centre))
}

/// Returns the relays among the hosts of a data centre, in order of preference.
pub fn relays<'a>(local: impl Iterator<Item = &'a Candidate> + Clone) -> Vec<HostId> {
    let largest = duty_hosts::largest(local).map(|h| h.host.as_str());
    rendezvous::ranking(RELAY_KEY, largest, RELAY_COUNT)
}

impl FollowPlan {
    /// Hosts to follow, in order of preference.
    pub fn sources(&self) -> impl Iterator<Item = &HostId> {
        self.relays.iter().chain(&self.watchers)
    }
}

/// How long changes of the list of hosts are gathered in a fleet of this size.
pub fn gather_time(hosts: u32) -> Duration {
    GATHER_TIME_PER_HOST.saturating_mul(hosts)
}
