//! Chooses whose copies of the store's objects a host follows.
//!
//! In a large fleet one host watches the store, two relays in each data centre follow it, and the
//! other hosts follow a relay of their own data centre. No host answers more than one data centre,
//! and a change crosses each path between data centres twice.

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
    let is_watcher = watchers.first().is_some_and(|first| first == own);
    let direct = live.len() <= MAX_DIRECT_FOLLOWERS;
    let relays_of = |centre: &str| {
        if direct {
            return Vec::new();
        }
        relays(live.iter().filter(|h| h.data_centre == centre))
    };
    let own_relays = relays_of(data_centre);
    let is_relay = own_relays.iter().any(|relay| relay == own);
    let is_candidate = watchers.iter().any(|w| w == own);
    let follows_watchers = direct || is_relay || is_candidate;
    let mut cleaner_of = std::collections::BTreeMap::new();
    let cleans = registered.filter(|(host, centre)| {
        let cleaner = cleaner_of
            .entry((*centre).to_owned())
            .or_insert_with(|| relays_of(centre).into_iter().next());
        let is_cleaner = match cleaner {
            Some(relay) => relay == own,
            None => is_watcher,
        };
        is_cleaner && host.as_str() != own
    });
    FollowPlan {
        cleans: cleans.map(|(host, _)| host.clone()).collect(),
        relays: match follows_watchers {
            true => Vec::new(),
            false => own_relays,
        },
        watchers,
        poll_timeout: match is_relay || is_candidate {
            true => RELAY_POLL_TIMEOUT,
            false => LONG_POLL_TIMEOUT,
        },
    }
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
