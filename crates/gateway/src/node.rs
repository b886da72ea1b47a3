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
use crate::front::member_loads::MemberLoads;
use crate::member::pool::Endpoint;
use crate::member::pool::Pool;
use crate::member::pool_table::PoolTable;
use crate::mesh::frame::Call;
use crate::mesh::frame::KindReport;
use crate::mesh::frame::Return;
use crate::mesh::mesh_handle::MeshHandle;
use crate::metrics::Metrics;
use crate::model::command::Command;
use crate::model::configuration::Configuration;
use crate::model::error_code::ErrorCode;
use crate::model::kind::Kind;
use crate::model::member_status::MemberStatus;
use crate::model::object::Content;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::platform::Platform;
use crate::policy::homes;
use crate::policy::homes::Candidate;
use crate::policy::read_floor::ReadFloor;
use crate::policy::readers;
use crate::primary_use::PrimaryUse;
use crate::primary_use::UseGuard;
use crate::quota_keeper::QuotaKeeper;
use crate::settings::Settings;
use crate::view::view_state::ViewState;

/// Part of a member's connections kept for hosts that cannot reach its home.
const RESERVE_DIVISOR: u32 = 5;
/// A leaving or evacuated primary is used this long while a successor is promoted; both bounds of
/// the deployment are above it.
const LEAVING_LIMIT: Duration = Duration::from_millis(3500);
/// An observation of the primary younger than this is passed on without asking the primary.
const FRESH_OBSERVATION: Duration = Duration::from_millis(250);
/// An answer younger than this shows that a member is reached.
const ANSWER_AGE: Duration = Duration::from_millis(600);
/// Limit of a question about a primary's position or state.
const STATUS_LIMIT: Duration = Duration::from_millis(500);
/// Limit of a call for a position, which includes a question to the primary.
const FLOOR_LIMIT: Duration = Duration::from_millis(700);
/// Time for statements in flight to end before a primary is given up.
const QUIESCE_LIMIT: Duration = Duration::from_millis(300);
/// A host that has been asked for news within this time goes on reading the store.
const READER_MEMORY: Duration = Duration::from_millis(1500);
/// A host whose list of hosts is older uses no primary. A change of primary waits this long for a
/// host that was removed from the list and may not know it.
pub const HOSTS_AGE: Duration = Duration::from_secs(8);
/// Name under which this host asks members about themselves.
const STATUS_USER: &str = "-";
/// Routes and keys of a configuration that hosts still pass on to each other, about 20 KB.
const LARGE_ENTRIES: usize = 200;
/// Limit of a transaction's rest when no configuration is known.
const IDLE_DEFAULT: Duration = Duration::from_secs(3);

/// One host.
pub struct Node<P: Platform> {
    pub settings: Settings,
    pub incarnation: Incarnation,
    pub store: P::Store,
    pub view: RefCell<ViewState>,
    /// Counts the changes of the view.
    pub changed: watch::Sender<u64>,
    pub mesh: Rc<MeshHandle>,
    pub pools: PoolTable<P>,
    pub quota: QuotaKeeper,
    pub metrics: Metrics,
    pub loads: MemberLoads,
    pub stopping: watch::Sender<bool>,
    pub sessions: Cell<u32>,
    /// Statements of clients that are not answered yet.
    pub running: Rc<Cell<u32>>,
    /// Channels that run on this host's connections.
    pub channels: Cell<u32>,
    closing: Cell<bool>,
    primaries: Rc<PrimaryUse>,
    floors: RefCell<BTreeMap<String, ReadFloor>>,
    fetching: RefCell<BTreeMap<String, watch::Receiver<bool>>>,
    leaving: RefCell<BTreeMap<MemberId, Duration>>,
    /// When each host last asked for this host's view.
    asked: RefCell<BTreeMap<HostId, Duration>>,
    /// When a host last asked for news of this host's view.
    relied: Cell<Option<Duration>>,
}

impl<P: Platform> Node<P> {
    pub fn new(settings: Settings, store: P::Store) -> Rc<Self> {
        let incarnation: Incarnation = rand::random();
        let host = settings.host.clone();
        Rc::new(Self {
            settings,
            incarnation,
            store,
            view: RefCell::default(),
            changed: watch::channel(0).0,
            mesh: MeshHandle::open(host, incarnation),
            pools: PoolTable::default(),
            quota: QuotaKeeper::default(),
            metrics: Metrics::open(),
            loads: MemberLoads::default(),
            stopping: watch::channel(false).0,
            sessions: Cell::new(0),
            running: Rc::default(),
            channels: Cell::new(0),
            closing: Cell::new(false),
            primaries: Rc::default(),
            floors: RefCell::default(),
            fetching: RefCell::default(),
            leaving: RefCell::default(),
            asked: RefCell::default(),
            relied: Cell::new(None),
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

    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.view.borrow().configuration()
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Whether a stop has come so far that no further operation begins here.
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    pub fn set_closing(&self) {
        self.closing.set(true);
    }

    /// Whether the configuration is recent enough to trust a key.
    pub fn keys_trusted(&self) -> bool {
        let age = self.view.borrow().age(&[Kind::Configuration], clock::now());
        age.is_some_and(|age| age <= self.settings.bounds.key_trust())
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

    /// Registered hosts that this host reaches, and all of them.
    pub fn host_counts(&self) -> (u32, u32) {
        let view = self.view.borrow();
        let hosts = view.hosts();
        let reached = hosts
            .iter()
            .filter(|(id, _)| **id == self.settings.host || !self.mesh.is_down(id))
            .count();
        (reached as u32, hosts.len() as u32)
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
        let limits = configuration.and_then(|c| c.services.get(&entry.service).copied());
        drop(view);
        let all = limits.map_or(1, |l| l.connections);
        let reserve = (all / RESERVE_DIVISOR).max(1);
        let own = self.home(member, |_| true).as_ref() == Some(&self.settings.host);
        pool.set_limit(if own { all - reserve.min(all) } else { reserve });
        Ok(pool)
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
        let recent = within(Kind::Primaries, self.settings.bounds.primary_view)
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
    /// to end. Later answers to writes are reported as unknown.
    pub async fn quiesce(&self, service: &str, revision: Revision) {
        self.primaries.block(service, revision);
        self.changed.send_modify(|n| *n += 1);
        let drained = tokio::time::timeout(QUIESCE_LIMIT, self.primaries.drained(service)).await;
        let complete = drained.is_ok();
        tracing::info!(
            event = 651,
            service,
            revision,
            complete,
            "primary no longer used"
        );
    }

    /// Records a position that the primary reported to a request sent at `at`.
    pub fn on_primary_position(&self, service: &str, at: Duration, position: LogPosition) {
        let mut floors = self.floors.borrow_mut();
        let floor = floors.entry(service.to_owned()).or_default();
        floor.record(at, position);
    }

    /// Position that covers all commits of a service acknowledged longer than `age` ago.
    pub async fn floor(self: &Rc<Self>, service: &str, age: Duration) -> Option<LogPosition> {
        let known = |age: Duration| {
            let floors = self.floors.borrow();
            floors.get(service)?.covering(age, clock::now())
        };
        // Refreshed in the background from half of the age on, so that reads rarely wait for it.
        if let Some(position) = known(age / 2) {
            return Some(position);
        }
        let fetch = self.fetch_floor(service);
        if let Some(position) = known(age) {
            return Some(position);
        }
        let mut fetch = fetch;
        // The sender is dropped when the fetch has ended.
        let _ = fetch.wait_for(|done| *done).await;
        known(age)
    }

    /// Asks the host that uses the primary for a position, once for all callers.
    fn fetch_floor(self: &Rc<Self>, service: &str) -> watch::Receiver<bool> {
        if let Some(running) = self.fetching.borrow().get(service) {
            return running.clone();
        }
        let (done, receiver) = watch::channel(false);
        self.fetching
            .borrow_mut()
            .insert(service.to_owned(), receiver.clone());
        let node = self.clone();
        let service = service.to_owned();
        tokio::task::spawn_local(async move {
            node.ask_floor(&service).await;
            node.fetching.borrow_mut().remove(&service);
            let _ = done.send(true);
        });
        receiver
    }

    async fn ask_floor(self: &Rc<Self>, service: &str) {
        let asked = clock::now();
        let Some(primary) = self.primary(service) else {
            return;
        };
        let Some(home) = self.home(&primary, |_| true) else {
            return;
        };
        let seen = if home == self.settings.host {
            self.observe_primary(service).await
        } else {
            let call = Call::Floor {
                service: service.to_owned(),
            };
            match self.mesh.call(&home, call, FLOOR_LIMIT).await {
                Ok(Return::Floor(seen)) => seen,
                answer => {
                    tracing::debug!(event = 641, home, ?answer, "no position of the primary");
                    None
                }
            }
        };
        if let Some((age, position)) = seen {
            // The age was counted after the question left, so this time is not too late.
            self.on_primary_position(service, asked.saturating_sub(age), position);
        }
    }

    /// A recent position of the primary with its age; asks the primary if none is known.
    pub async fn observe_primary(
        self: &Rc<Self>,
        service: &str,
    ) -> Option<(Duration, LogPosition)> {
        let primary = self.primary(service)?;
        let latest = || {
            let floors = self.floors.borrow();
            floors.get(service)?.latest(clock::now())
        };
        if let Some(seen) = latest().filter(|(age, _)| *age <= FRESH_OBSERVATION) {
            return Some(seen);
        }
        let sent = clock::now();
        let status = self.status(&primary).await?;
        if status.primary && self.may_use(service, &primary) {
            self.on_primary_position(service, sent, status.received);
        }
        latest()
    }

    /// Asks a member about itself.
    pub async fn status(self: &Rc<Self>, member: &str) -> Option<MemberStatus> {
        let answered = self.control(member, Command::Status).await?;
        P::member_status(answered.first()?)
    }

    /// Runs a command of the proxy's own at a member and returns its rows.
    pub async fn control(
        self: &Rc<Self>,
        member: &str,
        command: Command,
    ) -> Option<Vec<bytes::Bytes>> {
        let pool = self.pool(member).ok()?;
        let until = clock::now() + STATUS_LIMIT;
        let mut lease = pool.connection(STATUS_USER, 0, until).await.ok()?;
        let sent = clock::now();
        match lease.run(command, STATUS_LIMIT).await {
            Ok(answered) => {
                pool.on_answer();
                lease.give_back();
                answered.result.ok()?;
                Some(answered.rows)
            }
            Err(error) => {
                pool.on_silence(&error, sent);
                None
            }
        }
    }

    /// Whether the recorded primary of a service answers this host. Without traffic it is asked.
    pub async fn reaches_primary(self: &Rc<Self>, service: &str) -> bool {
        let primary = {
            let view = self.view.borrow();
            view.primary(service).map(|(r, _)| r.primary.clone())
        };
        let Some(primary) = primary else {
            return false;
        };
        let recent = |at| clock::now().saturating_sub(at) < ANSWER_AGE;
        let pool = self.pools.find(&primary);
        pool.and_then(|p| p.answered()).is_some_and(recent) || self.status(&primary).await.is_some()
    }

    /// Hosts that may watch the store for all, in order, as far as this host reaches them.
    pub fn readers(&self) -> Vec<HostId> {
        readers::candidates(&self.live_hosts())
    }

    /// Whether other hosts rely on this host's view.
    pub fn is_reader(&self) -> bool {
        let now = clock::now();
        let recent = |at| now.saturating_sub(at) < READER_MEMORY;
        self.relied.get().is_some_and(recent) || self.readers().first() == Some(&self.settings.host)
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

    /// When a host last asked for this host's view.
    pub fn last_asked(&self, host: &str) -> Option<Duration> {
        self.asked.borrow().get(host).copied()
    }

    /// Reports this host's view to another host; waits up to `hold` for something it lacks.
    pub async fn on_view_call(
        &self,
        from: &str,
        known: &[(Kind, Revision)],
        hold: Duration,
    ) -> Return {
        let start = clock::now();
        self.asked.borrow_mut().insert(from.to_owned(), start);
        if !hold.is_zero() {
            self.relied.set(Some(start));
        }
        let lacks = || {
            let view = self.view.borrow();
            let newer = |(kind, content): &(Kind, Revision)| {
                view.kind(*kind).is_some_and(|k| k.content > *content)
            };
            known.iter().any(newer)
        };
        let mut changed = self.changed.subscribe();
        let news = async {
            while !lacks() {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without news the answer still tells the age.
        let _ = tokio::time::timeout(hold, news).await;
        let now = clock::now();
        let view = self.view.borrow();
        let report = |(kind, content): &(Kind, Revision)| {
            let mut report = view.kind(*kind)?.report(*kind, *content, now)?;
            if *kind == Kind::Configuration && large(&report) {
                report.objects.clear();
                report.complete = false;
            }
            Some(report)
        };
        Return::View {
            held: now.saturating_sub(start),
            reports: known.iter().filter_map(report).collect(),
        }
    }
}

/// Whether a configuration is better read from the store than sent by a host to all others.
fn large(report: &KindReport) -> bool {
    report.objects.iter().any(|o| match &o.content {
        Some(Content::Configuration(c)) => c.routes.len() + c.keys.len() > LARGE_ENTRIES,
        _ => false,
    })
}
