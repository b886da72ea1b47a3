//! State of one host that its tasks share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::position::LogPosition;
use tokio::sync::watch;

use crate::clock;
use crate::floor_keeper::FloorKeeper;
use crate::front::member_loads::MemberLoads;
use crate::member::pool::Endpoint;
use crate::member::pool::Pool;
use crate::member::pool_table::PoolTable;
use crate::mesh::mesh_handle::MeshHandle;
use crate::metrics::Metrics;
use crate::model::configuration::Configuration;
use crate::model::error_code::ErrorCode;
use crate::model::kind::Kind;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::platform::Platform;
use crate::policy::bounds::Bounds;
use crate::policy::homes;
use crate::policy::homes::Candidate;
use crate::policy::readers;
use crate::primary_use::PrimaryUse;
use crate::primary_use::UseGuard;
use crate::quota_keeper::QuotaKeeper;
use crate::settings::Settings;
use crate::stage::Stage;
use crate::view::view_reports::ViewReports;
use crate::view::view_state::ViewState;

/// Part of a member's connections kept for hosts that cannot reach its home.
const RESERVE_DIVISOR: u32 = 5;
/// A leaving or evacuated primary is used this long while a successor is promoted; both bounds of
/// the deployment are above it.
const LEAVING_LIMIT: Duration = Duration::from_millis(3500);
/// Time for statements in flight to end before a primary is given up.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);
/// Limit of one question to a host to stop using a primary; it includes `DRAIN_LIMIT`.
pub const QUIESCE_LIMIT: Duration = Duration::from_millis(600);
/// A host whose list of hosts is older uses no primary. A change of primary waits this long for a
/// host that was removed from the list and may not know it.
pub const HOSTS_AGE: Duration = Duration::from_secs(8);
/// Limit of a transaction's rest when no configuration is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(3);

/// One host.
pub struct Node<P: Platform> {
    pub settings: Settings,
    /// Renewed when the settings change. The bound on the view of primaries stays that of
    /// `settings`.
    pub bounds: Cell<Bounds>,
    pub incarnation: Incarnation,
    started: Duration,
    pub store: P::Store,
    pub view: RefCell<ViewState>,
    /// Counts the changes of the view.
    pub changed: watch::Sender<u64>,
    pub mesh: Rc<MeshHandle>,
    pub pools: PoolTable<P>,
    pub quota: QuotaKeeper,
    pub metrics: Metrics,
    pub loads: MemberLoads,
    pub floors: FloorKeeper,
    pub reports: ViewReports,
    pub stage: watch::Sender<Stage>,
    pub sessions: Cell<u32>,
    /// Statements of clients that are not answered yet.
    pub running: Rc<Cell<u32>>,
    /// Channels that run on this host's connections.
    pub channels: Cell<u32>,
    pub primaries: Rc<PrimaryUse>,
    leaving: RefCell<BTreeMap<MemberId, Duration>>,
}

impl<P: Platform> Node<P> {
    pub fn new(settings: Settings, store: P::Store) -> Rc<Self> {
        let incarnation: Incarnation = rand::random();
        let host = settings.host.clone();
        Rc::new(Self {
            bounds: Cell::new(settings.bounds),
            settings,
            incarnation,
            started: clock::now(),
            store,
            view: RefCell::default(),
            changed: watch::channel(0).0,
            mesh: MeshHandle::open(host, incarnation),
            pools: PoolTable::default(),
            quota: QuotaKeeper::default(),
            metrics: Metrics::open(),
            loads: MemberLoads::default(),
            floors: FloorKeeper::default(),
            reports: ViewReports::default(),
            stage: watch::channel(Stage::default()).0,
            sessions: Cell::new(0),
            running: Rc::default(),
            channels: Cell::new(0),
            primaries: Rc::default(),
            leaving: RefCell::default(),
        })
    }

    /// Announces a change of the view to waiting tasks.
    pub fn on_view_changed(&self) {
        {
            let view = self.view.borrow();
            let hosts = view.hosts();
            self.mesh.on_hosts(
                hosts
                    .iter()
                    .filter(|(id, _)| **id != self.settings.host)
                    .map(|(id, entry)| (*id, entry.mesh, entry.incarnation)),
            );
            let now = clock::now();
            self.pools
                .retain(|member| view.member(member, now).is_some());
            let mut leaving = self.leaving.borrow_mut();
            leaving.retain(|member, _| {
                view.member(member, now)
                    .is_some_and(|m| m.draining || view.evacuated(&m.data_centre))
            });
        }
        self.changed.send_modify(|n| *n += 1);
    }

    /// Time since this process started.
    pub fn age(&self) -> Duration {
        clock::now().saturating_sub(self.started)
    }

    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.view.borrow().configuration()
    }

    pub fn is_stopping(&self) -> bool {
        *self.stage.borrow() >= Stage::Leaving
    }

    /// Whether a stop has come so far that no further operation begins here.
    pub fn is_closing(&self) -> bool {
        *self.stage.borrow() >= Stage::Closing
    }

    /// Whether the configuration is recent enough to trust a key.
    pub fn keys_trusted(&self) -> bool {
        let age = self.view.borrow().age(&[Kind::Configuration], clock::now());
        age.is_some_and(|age| age <= self.bounds.get().key_trust())
    }

    /// Whether this host should get new client connections.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.view.borrow().complete(clock::now()) && self.keys_trusted()
    }

    pub fn idle_limit(&self) -> Duration {
        let configuration = self.configuration();
        configuration
            .map(|c| c.idle)
            .filter(|idle| !idle.is_zero())
            .unwrap_or(IDLE_DEFAULT)
    }

    /// Hosts that take duties: registered, not leaving, not found unreachable.
    pub fn live_hosts(&self) -> Vec<HostId> {
        self.candidates().into_iter().map(|c| c.host).collect()
    }

    /// Number of registered hosts, at least one.
    pub fn host_count(&self) -> u32 {
        let hosts = self.view.borrow().hosts().len();
        u32::try_from(hosts).unwrap_or(u32::MAX).max(1)
    }

    /// Hosts that may hold the connections of members.
    pub fn candidates(&self) -> Vec<Candidate> {
        let view = self.view.borrow();
        let own = &self.settings.host;
        view.hosts()
            .into_iter()
            .filter(|(id, entry)| !entry.leaving && (*id == own || !self.mesh.is_down(id)))
            .map(|(id, entry)| Candidate {
                host: id.clone(),
                data_centre: entry.data_centre.clone(),
                region: self.settings.region(&entry.data_centre).to_owned(),
            })
            .collect()
    }

    /// Host that holds the connections of a member, among those for which `usable` holds.
    pub fn home(&self, member: &str, usable: impl Fn(&HostId) -> bool) -> Option<HostId> {
        let data_centre = {
            let view = self.view.borrow();
            view.member(member, clock::now())?.data_centre.clone()
        };
        let hosts: Vec<Candidate> = self
            .candidates()
            .into_iter()
            .filter(|c| usable(&c.host))
            .collect();
        let region = self.settings.region(&data_centre);
        let home = homes::home(member, &data_centre, region, &hosts).cloned();
        // Where no other host is left, a leaving host still serves its own clients.
        home.or_else(|| Some(self.settings.host.clone()).filter(usable))
    }

    /// Pool of a member that may be used now.
    pub fn pool(&self, member: &str) -> Result<Rc<Pool<P>>, Failure> {
        let none = || failure(ErrorCode::Busy, Cause::NoMember);
        let now = clock::now();
        let view = self.view.borrow();
        let entry = view.member(member, now).ok_or_else(none)?;
        if entry.draining || view.evacuated(&entry.data_centre) {
            let mut leaving = self.leaving.borrow_mut();
            let since = *leaving.entry(member.to_owned()).or_insert(now);
            if now.saturating_sub(since) > LEAVING_LIMIT {
                return Err(none());
            }
        }
        let endpoint = Endpoint {
            service: entry.service.clone(),
            member: member.to_owned(),
            address: entry.address,
            slots: entry.slots,
        };
        let pool = self.pools.get(&endpoint, entry.born);
        let configuration = view.configuration();
        let organisations = configuration.as_ref().map_or(0, |c| c.rates.len());
        let limits = configuration.and_then(|c| c.services.get(&entry.service).copied());
        let cold = view.is_cold(member, now);
        drop(view);
        let all = limits.map_or(1, |l| l.connections);
        let reserve = (all / RESERVE_DIVISOR).max(1);
        let own = self.home(member, |_| true).as_ref() == Some(&self.settings.host);
        let limit = if own { all - reserve.min(all) } else { reserve };
        pool.set_limit(limit, organisations);
        let rate = limits.map(|l| l.cold_rate).filter(|r| cold && *r > 0.0);
        pool.set_cold(rate, own);
        Ok(pool)
    }

    /// Applies this host's present part of the connections to all members: it may have ceased to be
    /// the home of some.
    pub fn renew_limits(&self) {
        for member in self.pools.members() {
            // A member that may not be used keeps what it has until its registration goes.
            let _ = self.pool(&member);
        }
    }

    /// The member that may run writes of a service now, by this host's view.
    pub fn primary(&self, service: &str) -> Option<MemberId> {
        let primary = {
            let view = self.view.borrow();
            view.primary(service)?.0.primary.clone()
        };
        self.may_use(service, &primary).then_some(primary)
    }

    /// Whether a member may be used as the primary of a service. The view must be recent, since a
    /// change of primary waits that long for hosts that do not answer.
    pub fn may_use(&self, service: &str, member: &str) -> bool {
        let view = self.view.borrow();
        let now = clock::now();
        let within = |kind, limit| view.age(&[kind], now).is_some_and(|age| age <= limit);
        let recent = within(Kind::Primaries, self.settings.bounds.primary_view())
            && within(Kind::Hosts, HOSTS_AGE);
        let registered = view
            .host(&self.settings.host)
            .is_some_and(|h| h.incarnation == self.incarnation);
        let Some((record, revision)) = view.primary(service) else {
            return false;
        };
        let named = record.primary == member && record.change.is_none();
        recent && registered && named && !self.primaries.is_blocked(service, revision)
    }

    /// Starts the use of a primary, if it may be used.
    pub fn use_primary(&self, service: &str, member: &str) -> Option<UseGuard> {
        self.may_use(service, member)
            .then(|| self.primaries.enter(service))
    }

    /// Ends when the primary of a service may no longer be used; never without a service.
    pub async fn primary_lost(&self, service: Option<&str>) {
        let Some(service) = service else {
            return std::future::pending().await;
        };
        let mut changed = self.changed.subscribe();
        loop {
            if self.primary(service).is_none() {
                return;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Stops using the primary whose record has this revision; statements in flight have a moment
    /// to end. Later answers to writes are reported as unknown, so the last acknowledged commit,
    /// which is returned, stays the last one.
    pub async fn quiesce(&self, service: &str, revision: Revision) -> Option<LogPosition> {
        self.primaries.block(service, revision);
        self.changed.send_modify(|n| *n += 1);
        let drained = tokio::time::timeout(DRAIN_LIMIT, self.primaries.drained(service)).await;
        let complete = drained.is_ok();
        tracing::info!(
            event = 651,
            service,
            revision,
            complete,
            "primary no longer used"
        );
        self.primaries.acknowledged(service)
    }

    /// Hosts that may watch the store for all, in order, as far as this host reaches them.
    pub fn readers(&self) -> Vec<HostId> {
        readers::candidates(&self.live_hosts())
    }

    /// Whether other hosts rely on this host's view.
    pub fn is_reader(&self) -> bool {
        self.reports.is_relied_on() || self.readers().first() == Some(&self.settings.host)
    }

    /// Registered hosts that are not leaving, reached or not; the same on all hosts.
    pub fn registered_hosts(&self) -> Vec<HostId> {
        let view = self.view.borrow();
        let hosts = view.hosts().into_iter();
        hosts
            .filter(|(_, entry)| !entry.leaving)
            .map(|(id, _)| id.clone())
            .collect()
    }
}
