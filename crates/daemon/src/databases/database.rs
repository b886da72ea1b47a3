//! A database group with its pools and background tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::member::Member;
use magnoliahatch_core::election::ElectionTimeouts;
use magnoliahatch_core::failure_detector::DetectionTimeouts;
use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::primary_wait::PrimaryWaitLimit;
use magnoliahatch_core::route::ReadRequirements;
use magnoliahatch_core::route::ReadTarget;
use tokio::sync::watch;

use crate::confirm::confirmer::Confirmer;
use crate::confirm::freshness::FreshnessChecker;
use crate::databases::gate::Gate;
use crate::databases::gate::PrimaryPermit;
use crate::databases::leaving;
use crate::election;
use crate::election::Inputs;
use crate::election::OutOfService;
use crate::member_commands::CommandConnection;
use crate::member_commands::CommandError;
use crate::monitor;
use crate::monitor::group::Group;
use crate::peers::fleet::Fleet;
use crate::peers::observations;
use crate::pool::member_pool::MemberPool;

/// Number of statements of one database that may wait for a primary on one host.
const HOLD_CAPACITY: usize = 2048;
/// Longest wait for a primary. A failover takes at most 6 s.
const HOLD_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of one command of an election, including opening its connection.
const VERB_TIMEOUT: Duration = Duration::from_secs(1);

/// A database group with its pools and background tasks, which end when it is dropped.
#[derive(Debug)]
pub struct Database {
    pub name: DatabaseId,
    pub group: Arc<Group>,
    pub confirmer: Confirmer,
    pub freshness: FreshnessChecker,
    pub election: election::Handle,
    pub gate: Gate,
    /// Held while this daemon executes a switchover of this database.
    pub switchover_lock: tokio::sync::Mutex<()>,
    members: Vec<Member>,
    pools: BTreeMap<MemberId, Arc<MemberPool>>,
    hold: Mutex<PrimaryWaitLimit>,
    start: Instant,
    /// Counter by which reads rotate over equally suitable members.
    turn: AtomicUsize,
    _alive: watch::Sender<()>,
}

impl Database {
    /// Starts the pools and background tasks of a group.
    pub fn spawn(name: DatabaseId, members: Vec<Member>, fleet: &Fleet) -> Arc<Self> {
        let alive = watch::Sender::new(());
        let start = fleet.start;
        let group = Arc::new(Group::new(start));
        let pools: BTreeMap<_, _> = members
            .iter()
            .map(|member| {
                let (limits, drains) = (fleet.limits.clone(), fleet.drains.clone());
                let pool = MemberPool::spawn(name.clone(), member.clone(), limits, drains);
                (member.name.clone(), pool)
            })
            .collect();
        leaving::spawn(
            members.clone(),
            pools.clone(),
            Arc::clone(&group),
            fleet,
            alive.subscribe(),
        );
        for pool in pools.values() {
            monitor::spawn(Arc::clone(&group), Arc::clone(pool), alive.subscribe());
        }
        let addresses: BTreeMap<_, _> = members
            .iter()
            .map(|member| (member.name.clone(), member.address))
            .collect();
        let confirmer = Confirmer::spawn(
            name.clone(),
            addresses.clone(),
            Arc::clone(&group),
            alive.subscribe(),
        );
        let election = election(&name, &members, &addresses, &group, fleet);
        let freshness = FreshnessChecker::spawn(name.clone(), addresses, Arc::clone(&group));
        Arc::new(Self {
            name,
            group,
            confirmer,
            freshness,
            election,
            gate: Gate::default(),
            switchover_lock: tokio::sync::Mutex::new(()),
            members,
            pools,
            hold: Mutex::new(PrimaryWaitLimit::new(HOLD_CAPACITY, HOLD_TIMEOUT)),
            start,
            turn: AtomicUsize::new(0),
            _alive: alive,
        })
    }

    /// Whether the group was started with exactly these members.
    pub fn has_members(&self, members: &[Member]) -> bool {
        self.members == members
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Looks up a member by name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.name == name)
    }

    pub fn pool(&self, member: &MemberId) -> Option<&Arc<MemberPool>> {
        self.pools.get(member)
    }

    /// Chooses a member for a read. Members out of service are excluded, and members in the data
    /// centre `own` are preferred.
    pub fn choose(
        &self,
        requirements: ReadRequirements,
        view: &ConfigView,
        own: &DataCentreId,
    ) -> ReadTarget {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        self.group.choose(requirements, turn, |name| {
            let member = self.members.iter().find(|m| m.name == *name)?;
            view.member_in_service(member)
                .then_some(u32::from(member.data_centre != *own))
        })
    }

    /// Returns the pool of the primary and the right to use it. Waits while there is no primary or
    /// it is about to be replaced. Returns none if too many statements are waiting already or no
    /// primary is found in time. Primaries of a term before `term` are ignored.
    pub async fn primary(
        &self,
        term: Term,
        deadline: Instant,
    ) -> Option<(Arc<MemberPool>, PrimaryPermit)> {
        if let Some(found) = self.current_primary(term) {
            return Some(found);
        }
        let slot = HoldSlot::enter(self, deadline)?;
        let mut view = self.group.subscribe();
        let mut gate = self.gate.subscribe();
        loop {
            if let Some(found) = self.current_primary(term) {
                return Some(found);
            }
            tokio::select! {
                changed = view.changed() => changed.ok()?,
                changed = gate.changed() => changed.ok()?,
                () = tokio::time::sleep_until(slot.deadline.into()) => return None,
            }
        }
    }

    /// Number of statements that are waiting for a primary.
    pub fn waiting(&self) -> usize {
        self.hold
            .lock()
            .expect("no holder of this lock panics")
            .waiting()
    }

    /// The primary, if it is of `term` or later and its gate is open.
    fn current_primary(&self, term: Term) -> Option<(Arc<MemberPool>, PrimaryPermit)> {
        let (name, known) = self.group.primary().filter(|(_, known)| *known >= term)?;
        let pool = self.pools.get(&name)?;
        Some((Arc::clone(pool), self.gate.enter(known)?))
    }
}

/// Starts the task that replaces a failed primary.
fn election(
    name: &DatabaseId,
    members: &[Member],
    addresses: &BTreeMap<MemberId, SocketAddr>,
    group: &Group,
    fleet: &Fleet,
) -> election::Handle {
    let peer_address = |member: &Member| member.peer_address.unwrap_or(member.address);
    let peer_addresses: BTreeMap<_, _> = members
        .iter()
        .map(|member| (member.name.clone(), peer_address(member)))
        .collect();
    let (database, addresses) = (name.clone(), addresses.clone());
    election::spawn(Inputs {
        database: name.clone(),
        host: fleet.host.clone(),
        incarnation: fleet.incarnation,
        members: peer_addresses,
        start: fleet.start,
        view: group.subscribe(),
        peers: observations::spawn(fleet.clone(), name.clone()),
        call: Arc::new(move |member, sql| {
            let address = addresses.get(&member).copied();
            let database = database.clone();
            Box::pin(async move {
                let address = address.ok_or(CommandError::InvalidAnswer("unknown member"))?;
                let deadline = Instant::now() + VERB_TIMEOUT;
                let mut commands = CommandConnection::open(address, &database, deadline).await?;
                Ok(commands.call(&sql, deadline).await?)
            })
        }),
        out_of_service: out_of_service(fleet, members),
        patience: DetectionTimeouts::default(),
        timing: ElectionTimeouts::default(),
    })
}

/// Returns a function that lists the members that are out of service.
fn out_of_service(fleet: &Fleet, members: &[Member]) -> OutOfService {
    let (config, members) = (fleet.config.clone(), members.to_vec());
    Arc::new(move || {
        let view = config.borrow();
        let unavailable = members.iter().filter(|m| !view.member_in_service(m));
        unavailable.map(|member| member.name.clone()).collect()
    })
}

/// Place of one statement among those that wait for a primary; released when dropped.
struct HoldSlot<'a> {
    database: &'a Database,
    deadline: Instant,
}

impl<'a> HoldSlot<'a> {
    fn enter(database: &'a Database, deadline: Instant) -> Option<Self> {
        let mut hold = database.hold.lock().expect("no holder of this lock panics");
        let limit = deadline.saturating_duration_since(database.start);
        let end = hold.on_wait(database.start.elapsed(), limit)?;
        Some(Self {
            database,
            deadline: database.start + end,
        })
    }
}

impl Drop for HoldSlot<'_> {
    fn drop(&mut self) {
        let mut hold = self
            .database
            .hold
            .lock()
            .expect("no holder of this lock panics");
        hold.on_wait_end();
    }
}
