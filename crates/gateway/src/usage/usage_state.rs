//! What a host keeps for the usage reports.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::rendezvous;

use crate::clock;
use crate::host_table::HostTable;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::clock_median::ClockMedian;
use crate::policy::usage_counts::UsageCounts;
use crate::policy::usage_duty::UsageDuty;
use crate::policy::usage_settings::UsageSettings;
use crate::policy::usage_windows::UsageWindows;

/// Name of the duty, by which its aggregators are chosen.
const DUTY: &str = "usage";
/// Number of hosts that add the counts up.
const AGGREGATORS: usize = 2;
/// Number of hosts whose clocks are compared. Three of them may be wrong.
const RANKED_HOSTS: usize = 7;

/// The highest ranks for the duty, with the table of hosts that they were computed from.
type CachedRanking = (Rc<HostTable>, Rc<Vec<HostId>>);

/// Counts of this host, and what it holds as an aggregator.
#[derive(Debug)]
pub struct UsageState {
    pub settings: UsageSettings,
    pub counts: RefCell<UsageCounts>,
    pub clocks: RefCell<ClockMedian>,
    /// `None` while this host is no aggregator.
    pub windows: RefCell<Option<UsageWindows>>,
    /// When this host was last an aggregator or got counts.
    pub last_use: Cell<Duration>,
    pub duty: RefCell<UsageDuty>,
    /// The host that sends the reports, as an aggregator named it, and the revision of its record.
    pub holder: RefCell<Option<(Revision, HostId)>>,
    ranking: RefCell<Option<CachedRanking>>,
}

impl UsageState {
    pub fn new(host: HostId, incarnation: Incarnation, settings: UsageSettings) -> Self {
        Self {
            settings,
            counts: RefCell::default(),
            clocks: RefCell::default(),
            windows: RefCell::default(),
            last_use: Cell::default(),
            duty: RefCell::new(UsageDuty::new(host, incarnation, settings)),
            holder: RefCell::default(),
            ranking: RefCell::default(),
        }
    }

    /// Counts a statement that was sent to a member at this time.
    pub fn count(&self, organisation: &str, sent: Duration) {
        self.counts.borrow_mut().count(organisation, sent);
    }

    /// Records which host sends the reports, if this is newer than what is known.
    pub fn on_holder(&self, named: Option<&(Revision, HostId)>) {
        let mut known = self.holder.borrow_mut();
        if let Some(named) = named
            && known.as_ref().is_none_or(|known| known.0 < named.0)
        {
            *known = Some(named.clone());
        }
    }

    /// Whether this host adds counts up.
    pub fn is_aggregator(&self) -> bool {
        self.windows.borrow().is_some()
    }

    /// Lets this host add counts up if it did not yet.
    pub fn open_windows<P: Platform>(&self, node: &Node<P>) {
        let now = clock::now();
        self.last_use.set(now);
        self.windows.borrow_mut().get_or_insert_with(|| {
            let started = now.saturating_sub(node.age());
            UsageWindows::new(self.settings.window, started, now)
        });
    }

    /// The hosts that add the counts up, in the order of preference.
    pub fn aggregators<P: Platform>(&self, node: &Node<P>) -> Vec<HostId> {
        let ranking = self.ranking(node);
        ranking.iter().take(AGGREGATORS).cloned().collect()
    }

    /// The hosts with the highest ranks for the duty, whose clocks are compared.
    pub fn ranking<P: Platform>(&self, node: &Node<P>) -> Rc<Vec<HostId>> {
        let hosts = node.hosts();
        let mut cached = self.ranking.borrow_mut();
        if let Some((table, ranking)) = &*cached
            && Rc::ptr_eq(table, &hosts)
        {
            return ranking.clone();
        }
        let names = hosts.registered_duty.iter().map(String::as_str);
        let ranking = Rc::new(rendezvous::ranking(DUTY, names, RANKED_HOSTS));
        *cached = Some((hosts, ranking.clone()));
        ranking
    }
}
