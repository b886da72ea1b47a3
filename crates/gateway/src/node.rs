//! The state that the tasks of a host share.

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

use crate::client_memory::ClientMemory;
use crate::clock;
use crate::failover::promoter;
use crate::front::member_loads::MemberLoads;
use crate::host_table::HostTable;
use crate::member::pool::Endpoint;
use crate::member::pool::Pool;
use crate::member::pool_table::PoolTable;
use crate::mesh::mesh_handle::MeshHandle;
use crate::metrics::Metrics;
use crate::model::configuration::Configuration;
use crate::model::error_code::ErrorCode;
use crate::model::kind::ObjectKind;
use crate::model::member_load::MemberLoad;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::platform::Platform;
use crate::policy::bounds::Bounds;
use crate::policy::connection_count::ConnectionCount;
use crate::policy::copy_times::CopyTimes;
use crate::policy::homes;
use crate::policy::retry_budgets::RetryBudgets;
use crate::policy::shutdown_schedule::OpenWork;
use crate::policy::store_admission::StoreAdmission;
use crate::primary_use::PrimaryUse;
use crate::primary_use::PrimaryUseGuard;
use crate::quota_tokens::QuotaTokens;
use crate::read_floors::ReadFloors;
use crate::settings::Settings;
use crate::shutdown_stage::ShutdownStage;
use crate::usage::usage_state::UsageState;
use crate::view::view_reports::ViewReports;
use crate::view::view_state::ViewState;

/// One part in this many of a member's connections is reserved for hosts that cannot reach the
/// member's home.
const RESERVE_DIVISOR: u32 = 5;
/// How long a draining or evacuated member may still be used, while a successor of a primary is
/// promoted. Both bounds of the deployment are above it.
const LEAVING_PRIMARY_LIMIT: Duration = Duration::from_millis(3500);
/// Time that running statements have to end when the host stops using a primary.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);
/// Time limit of one request to a host to stop using a primary. It includes `DRAIN_LIMIT`.
pub const QUIESCE_TIMEOUT: Duration = Duration::from_millis(600);
/// A host whose list of hosts is older than this uses no primary. A change of primary waits this
/// long for a host that was removed from the list, since that host may not know of its removal.
pub const MAX_HOST_LIST_AGE: Duration = Duration::from_secs(8);
/// Limit on a transaction's idle time if the configuration sets none or is not known.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(3);

/// The shared state of a host.
pub struct Node<P: Platform> {
    pub settings: Settings,
    /// Replaced when the settings are reloaded. The bound on the age of the view of primaries is
    /// always taken from `settings`.
    pub bounds: Cell<Bounds>,
    pub incarnation: Incarnation,
    started: Duration,
    pub store: P::Store,
    pub view: RefCell<ViewState>,
    /// Number of changes of the view; incremented to notify waiting tasks.
    pub changed: watch::Sender<u64>,
    pub mesh: Rc<MeshHandle>,
    pub pools: PoolTable<P>,
    pub quota: QuotaTokens,
    pub metrics: Rc<Metrics>,
    pub loads: MemberLoads,
    pub retries: RefCell<RetryBudgets>,
    pub floors: ReadFloors,
    /// `None` if the deployment asks for no usage reports.
    pub usage: Option<UsageState>,
    pub reports: ViewReports,
    pub admission: RefCell<StoreAdmission>,
    pub stage: watch::Sender<ShutdownStage>,
    /// Bytes held for clients.
    pub memory: Rc<ClientMemory>,
    /// Open connections of clients.
    pub connections: RefCell<ConnectionCount>,
    pub sessions: Cell<u32>,
    /// Number of client statements that are not answered yet.
    pub running: Rc<Cell<u32>>,
    /// Number of channels that run on this host's connections.
    pub channels: Cell<u32>,
    /// Number of these that wait for the next statement of their transaction.
    pub idle_channels: Cell<u32>,
    pub primaries: Rc<PrimaryUse>,
    /// When this host first found a member draining or evacuated.
    leaving_members: RefCell<BTreeMap<MemberId, Duration>>,
    /// The table of hosts, with the numbers of changes that it was computed from.
    host_table: RefCell<((u64, u64), Rc<HostTable>)>,
    /// Number of changes of the list of hosts that the mesh knows.
    mesh_hosts: Cell<u64>,
}

impl<P: Platform> Node<P> {
    pub fn new(settings: Settings, store: P::Store) -> Rc<Self> {
        let incarnation: Incarnation = rand::random();
        let host = settings.host.clone();
        let usage = settings
            .usage
            .map(|usage| UsageState::new(host.clone(), incarnation, usage));
        let limits = settings.clients;
        let memory = ClientMemory::new(limits.max_bytes);
        let metrics = Rc::new(Metrics::open());
        Rc::new(Self {
            bounds: Cell::new(settings.bounds),
            settings,
            incarnation,
            started: clock::now(),
            store,
            view: RefCell::default(),
            changed: watch::channel(0).0,
            mesh: MeshHandle::open(host, incarnation, memory.clone()),
            pools: PoolTable::new(metrics.clone()),
            quota: QuotaTokens::default(),
            metrics,
            loads: MemberLoads::default(),
            retries: RefCell::default(),
            floors: ReadFloors::default(),
            usage,
            reports: ViewReports::default(),
            admission: RefCell::default(),
            stage: watch::channel(ShutdownStage::default()).0,
            memory,
            connections: RefCell::new(ConnectionCount::new(
                limits.max_connections,
                limits.max_starting,
            )),
            sessions: Cell::new(0),
            running: Rc::default(),
            channels: Cell::new(0),
            idle_channels: Cell::new(0),
            primaries: Rc::default(),
            leaving_members: RefCell::default(),
            host_table: RefCell::default(),
            mesh_hosts: Cell::new(0),
        })
    }

    /// Applies a changed view to the mesh and the pools, and notifies waiting tasks.
    pub fn on_view_changed(&self) {
        {
            let view = self.view.borrow();
            if self.mesh_hosts.replace(view.hosts_changes()) != view.hosts_changes() {
                let hosts = view.hosts().into_iter();
                let others = hosts.filter(|(id, _)| **id != self.settings.host);
                let others = others.map(|(id, entry)| (id, entry.mesh, entry.incarnation));
                let complete = view.age(&[ObjectKind::Hosts], clock::now()).is_some();
                self.mesh.set_hosts(others, complete);
            }
            let now = clock::now();
            self.pools
                .retain(|member| view.member(member, now).is_some());
            let mut leaving = self.leaving_members.borrow_mut();
            leaving.retain(|member, _| {
                view.member(member, now)
                    .is_some_and(|m| m.draining || view.is_evacuated(&m.data_centre, clock::now()))
            });
        }
        self.changed.send_modify(|n| *n += 1);
    }

    /// Time since this process started.
    pub fn age(&self) -> Duration {
        clock::now().saturating_sub(self.started)
    }

    /// Time since which only processes that are registered now may have acknowledged commits, as far
    /// as this process knows. It may lie in the future: a host whose registration was removed may go
    /// on for a while.
    pub fn known_hosts_since(&self) -> Duration {
        let view = self.view.borrow();
        let removal = view.processes().last_unexpected_removal();
        let ends = [
            view.processes().last_end(),
            removal.map(|at| at + MAX_HOST_LIST_AGE),
        ];
        ends.into_iter().flatten().fold(self.started, Duration::max)
    }

    /// Time from which no promotion that was ordered in a former era of the store can take effect:
    /// a holder that has not seen the present era stops when its record is too old.
    pub fn era_settles_at(&self) -> Duration {
        let seen = self.view.borrow().eras().seen();
        let since = seen.map_or(self.started, |(_, at)| at);
        since + promoter::order_limit(self)
    }

    pub fn era_settled(&self) -> bool {
        clock::now() >= self.era_settles_at()
    }

    /// Whether the commits of a service are acknowledged only once a replica has received them.
    pub fn is_synchronous(&self, service: &str) -> bool {
        let configuration = self.configuration();
        let limits = configuration.and_then(|c| c.services.get(service).copied());
        limits.is_some_and(|l| l.synchronous)
    }

    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.view.borrow().configuration()
    }

    /// What a stop of this host has to wait for.
    pub fn open_work(&self) -> OpenWork {
        let (channels, idle) = (self.channels.get(), self.idle_channels.get());
        OpenWork {
            sessions: self.sessions.get() + idle,
            statements: self.running.get() + channels.saturating_sub(idle),
        }
    }

    pub fn is_stopping(&self) -> bool {
        *self.stage.borrow() >= ShutdownStage::Leaving
    }

    /// Whether the shutdown has reached the stage in which no new operation begins.
    pub fn is_closing(&self) -> bool {
        *self.stage.borrow() >= ShutdownStage::Closing
    }

    /// Whether the configuration is recent enough to trust a key.
    pub fn keys_trusted(&self) -> bool {
        let age = self
            .view
            .borrow()
            .age(&[ObjectKind::Configuration], clock::now());
        age.is_some_and(|age| age <= self.bounds.get().max_key_age())
    }

    /// Whether the load balancer should send new client connections to this host.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.view.borrow().is_complete(clock::now()) && self.keys_trusted()
    }

    pub fn idle_limit(&self) -> Duration {
        let configuration = self.configuration();
        configuration
            .map(|c| c.idle)
            .filter(|idle| !idle.is_zero())
            .unwrap_or(DEFAULT_IDLE_LIMIT)
    }

    /// The hosts and their tasks, as far as this host knows.
    pub fn hosts(&self) -> Rc<HostTable> {
        let view = self.view.borrow();
        let current = (view.hosts_changes(), self.mesh.revision());
        let mut cached = self.host_table.borrow_mut();
        if cached.0 != current {
            let table = HostTable::new(&self.settings, &view, &self.mesh);
            *cached = (current, Rc::new(table));
        }
        cached.1.clone()
    }

    /// Registered hosts that are not leaving and not found unreachable.
    pub fn live_hosts(&self) -> Vec<HostId> {
        let hosts = self.hosts();
        hosts.live.iter().map(|c| c.host.clone()).collect()
    }

    /// The host that holds the connections to a member, among those for which `usable` is true.
    pub fn home(&self, member: &str, usable: impl Fn(&HostId) -> bool) -> Option<HostId> {
        let data_centre = {
            let view = self.view.borrow();
            view.member(member, clock::now())?.data_centre.clone()
        };
        let hosts = self.hosts();
        let candidates = hosts.live.iter().filter(|c| usable(&c.host));
        let region = self.settings.region(&data_centre);
        let home = homes::home(member, &data_centre, region, candidates).cloned();
        // If no other host is left, a leaving host still serves its own clients.
        home.or_else(|| Some(self.settings.host.clone()).filter(usable))
    }

    /// The pool of a member, with this host's current limits, if the member may be used.
    pub fn pool(&self, member: &str) -> Result<Rc<Pool<P>>, Failure> {
        let none = || failure(ErrorCode::Busy, Cause::NoMember);
        let now = clock::now();
        let view = self.view.borrow();
        let entry = view.member(member, now).ok_or_else(none)?;
        let evacuated = view.is_evacuated(&entry.data_centre, clock::now());
        if self.has_left(member, entry.draining || evacuated, now) {
            return Err(none());
        }
        let endpoint = Endpoint {
            service: entry.service.clone(),
            member: member.to_owned(),
            address: entry.address,
            slots: entry.slots,
        };
        let pool = self.pools.get(&endpoint, entry.started_ms);
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

    /// The load of a member to which this host sends statements itself; `None` if it cannot be reached.
    pub fn own_load(&self, member: &str) -> Option<MemberLoad> {
        let pool = self.pools.find(member)?;
        (!pool.is_failing()).then(|| pool.load())
    }

    /// Whether a member has been leaving, that is draining or evacuated, for longer than it may be used.
    pub fn has_left(&self, member: &str, leaving: bool, now: Duration) -> bool {
        let mut members = self.leaving_members.borrow_mut();
        if !leaving {
            members.remove(member);
            return false;
        }
        let since = *members.entry(member.to_owned()).or_insert(now);
        now.saturating_sub(since) > LEAVING_PRIMARY_LIMIT
    }

    /// Updates the connection limits of all pools, since this host may no longer be the home of
    /// some members.
    pub fn update_connection_limits(&self) {
        for member in self.pools.members() {
            // The pool of a member that may not be used keeps its limits until the member's
            // registration is removed.
            let _ = self.pool(&member);
            if let Some(pool) = self.pools.find(&member) {
                pool.close_expired();
            }
        }
    }

    /// The member that may run writes of a service now, according to this host's view.
    pub fn primary(&self, service: &str) -> Option<MemberId> {
        let primary = {
            let view = self.view.borrow();
            view.primary(service)?.0.primary.clone()
        };
        self.may_use_primary(service, &primary).then_some(primary)
    }

    /// Whether a member may be used as the primary of a service. The view must be recent: a change
    /// of primary waits for hosts that do not answer only until their views are too old.
    pub fn may_use_primary(&self, service: &str, member: &str) -> bool {
        let max_age = self.settings.bounds.max_primary_record_age();
        let times = self.copy_times(self.view.borrow().primary_current_at(service));
        let allowed = times.allow_primary(clock::now(), max_age, MAX_HOST_LIST_AGE);
        let view = self.view.borrow();
        let Some((record, revision)) = view.primary(service) else {
            return false;
        };
        let named = record.primary == member && record.change.is_none();
        allowed && named && !self.primaries.is_blocked(service, revision)
    }

    /// The times of this host's copies on which the use of a primary depends, whose record was
    /// last known to be current at `records`.
    pub fn copy_times(&self, records: Option<Duration>) -> CopyTimes {
        let view = self.view.borrow();
        CopyTimes {
            records,
            hosts: view.kind(ObjectKind::Hosts).and_then(|k| k.current_at),
            registered: view
                .processes()
                .since(&self.settings.host, self.incarnation),
        }
    }

    /// Registers a use of a primary, if the primary may be used.
    pub fn use_primary(&self, service: &str, member: &str) -> Option<PrimaryUseGuard> {
        self.may_use_primary(service, member)
            .then(|| self.primaries.begin(service))
    }

    /// Waits until the primary of a service may no longer be used. Never returns for `None`.
    pub async fn wait_primary_lost(&self, service: Option<&str>) {
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

    /// Stops using the primary in the record with this revision and returns the position of the
    /// last commit that this host acknowledged. Running statements have `DRAIN_LIMIT` to end.
    /// Writes that are answered later are reported as unknown, so no later commit is acknowledged.
    pub async fn quiesce(&self, service: &str, revision: Revision) -> Option<LogPosition> {
        self.primaries.block(service, revision);
        self.changed.send_modify(|n| *n += 1);
        let drained = tokio::time::timeout(DRAIN_LIMIT, self.primaries.wait_unused(service)).await;
        let complete = drained.is_ok();
        tracing::info!(
            event = 651,
            service,
            revision,
            complete,
            "primary no longer used"
        );
        self.primaries.last_acknowledged(service)
    }

    /// Place of this host in the order of the hosts that may watch the store for all.
    pub fn watcher_rank(&self) -> Option<usize> {
        let hosts = self.hosts();
        let mut watchers = hosts.plan.watchers.iter();
        watchers.position(|host| *host == self.settings.host)
    }

    /// Registered hosts that are not leaving, whether reachable or not.
    pub fn registered_hosts(&self) -> Vec<HostId> {
        let view = self.view.borrow();
        let hosts = view.hosts().into_iter();
        hosts
            .filter(|(_, entry)| !entry.leaving)
            .map(|(id, _)| id.clone())
            .collect()
    }
}
