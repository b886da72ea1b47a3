//! Connections and slots of one member.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use tokio::sync::oneshot;

use crate::clock;
use crate::member::connection::Connection;
use crate::member::connection_error::ConnectionError;
use crate::member::guard::on_drop;
use crate::member::lease::Lease;
use crate::member::slot::Slot;
use crate::model::error_code::ErrorCode;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::platform::Platform;
use crate::policy::admission::Admission;
use crate::policy::admission::Entry;
use crate::policy::admission::Ticket;
use crate::policy::cold_start::ColdStart;
use crate::policy::cold_start::Pace;
use crate::policy::connection_plan::Idle;
use crate::policy::connection_plan::Plan;
use crate::policy::connection_plan::Room;
use crate::policy::connection_plan::paced;
use crate::policy::connection_plan::plan;
use crate::policy::connection_plan::plan_command;

/// Statements sent to a member for each of its slots: one runs while the next is on its way.
const SENT_PER_SLOT: u32 = 2;
/// After a failed attempt to connect, further callers are refused at once for this long.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// After a refusal for too many connections, this pool opens none for this long.
const LIMIT_PAUSE: Duration = Duration::from_millis(200);
/// Idle connections that rested longer are closed rather than reused, since a path may have gone
/// silent meanwhile.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Longest wait for a connection before the pool is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// Name of connections that are opened for commands of the proxy's own.
const COMMAND_USER: &str = "-";

/// Identity and address of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    pub service: String,
    pub member: MemberId,
    pub address: SocketAddr,
    pub slots: u32,
}

type Waiters = BTreeMap<(u32, u64), (OrganisationId, oneshot::Sender<()>)>;

/// Connections of this host to one member.
pub struct Pool<P: Platform> {
    pub endpoint: Endpoint,
    idle: RefCell<Vec<Connection<P>>>,
    total: Cell<u32>,
    /// Connections that are being opened.
    opening: Cell<u32>,
    room: Cell<Room>,
    waiters: RefCell<Waiters>,
    next: Cell<u64>,
    admission: RefCell<Admission>,
    slot_waiters: RefCell<BTreeMap<Ticket, oneshot::Sender<()>>>,
    generation: Cell<u64>,
    failed: Cell<Option<Duration>>,
    limited: Cell<Option<Duration>>,
    answered: Cell<Option<Duration>>,
    cold: RefCell<ColdStart>,
}

impl<P: Platform> Pool<P> {
    pub fn new(endpoint: Endpoint) -> Rc<Self> {
        let capacity = endpoint.slots.max(1) * SENT_PER_SLOT;
        Rc::new(Self {
            endpoint,
            idle: RefCell::default(),
            total: Cell::new(0),
            opening: Cell::new(0),
            room: Cell::new(Room::new(1, 1)),
            waiters: RefCell::default(),
            next: Cell::new(0),
            admission: RefCell::new(Admission::new(capacity)),
            slot_waiters: RefCell::default(),
            generation: Cell::new(0),
            failed: Cell::new(None),
            limited: Cell::new(None),
            answered: Cell::new(None),
            cold: RefCell::default(),
        })
    }

    /// Sets how many connections this host may hold, and how many organisations share them.
    pub fn set_limit(&self, limit: u32, organisations: usize) {
        self.room.set(Room::new(limit.max(1), organisations));
        self.close_surplus();
    }

    /// Closes idle connections beyond the limit: another host may need them.
    fn close_surplus(&self) {
        let surplus = self.total.get().saturating_sub(self.room.get().limit) as usize;
        let mut idle = self.idle.borrow_mut();
        let closed = surplus.min(idle.len());
        // The first ones have rested longest.
        idle.drain(..closed);
        self.total.set(self.total.get() - closed as u32);
    }

    /// Sets the rate of a cold member, and whether this host is its home; no rate for a warm one.
    pub fn set_cold(&self, rate: Option<f64>, home: bool) {
        self.cold.borrow_mut().set(rate, home, clock::now());
    }

    /// Waits until a statement may be sent to a member that may be cold. A newcomer is refused in
    /// place of a wait, since another member may be warm.
    pub async fn pace(&self, newcomer: bool, until: Duration) -> Result<(), Failure> {
        loop {
            let now = clock::now();
            let pace = self.cold.borrow_mut().take(now);
            match pace {
                Pace::Send => return Ok(()),
                Pace::Wait(left) if !newcomer && now + left < until => {
                    tokio::time::sleep(left).await;
                }
                Pace::Wait(_) | Pace::Never => {
                    return Err(failure(ErrorCode::Busy, Cause::Member));
                }
            }
        }
    }

    /// When the member last answered.
    pub fn answered(&self) -> Option<Duration> {
        self.answered.get()
    }

    /// Whether the member could not be reached and has not answered since.
    pub fn failing(&self) -> bool {
        self.failed.get().is_some()
    }

    /// Records an answer.
    pub fn on_answer(&self) {
        self.answered.set(Some(clock::now()));
        if self.failed.take().is_some() {
            let member = &self.endpoint.member;
            tracing::info!(event = 621, member, "member reached again");
        }
    }

    /// Records that a connection got no answer to what was sent at `sent`. Unless the member
    /// answered on another connection since, the idle connections may be silent as well.
    pub fn on_silence(&self, error: &ConnectionError, sent: Duration) {
        if self.answered.get().is_some_and(|at| at > sent) {
            let member = &self.endpoint.member;
            tracing::debug!(event = 623, member, %error, "one connection to a member failed");
            return;
        }
        if self.failed.replace(Some(clock::now())).is_none() {
            let member = &self.endpoint.member;
            tracing::warn!(event = 620, member, %error, "member not reached");
        }
        self.retire();
    }

    /// Closes the idle connections; those in use are closed when they come back.
    pub fn retire(&self) {
        self.generation.set(self.generation.get() + 1);
        let closed = self.idle.take().len() as u32;
        self.total.set(self.total.get().saturating_sub(closed));
        self.wake();
    }

    /// Takes a connection for an organisation before `until`.
    pub async fn connection(
        self: &Rc<Self>,
        organisation: &str,
        priority: u32,
        until: Duration,
    ) -> Result<Lease<P>, Failure> {
        let choose = |idle: &[Idle], total, room| plan(organisation, idle, total, room);
        self.planned(choose, organisation, priority, until).await
    }

    /// Takes any connection for a command of the proxy's own.
    pub async fn command_connection(self: &Rc<Self>, until: Duration) -> Result<Lease<P>, Failure> {
        self.planned(plan_command, COMMAND_USER, 0, until).await
    }

    async fn planned(
        self: &Rc<Self>,
        choose: impl Fn(&[Idle], u32, Room) -> Plan,
        organisation: &str,
        priority: u32,
        until: Duration,
    ) -> Result<Lease<P>, Failure> {
        let place = (priority, self.next.get());
        self.next.set(self.next.get() + 1);
        loop {
            self.close_rested();
            let idle: Vec<Idle> = {
                let idle = self.idle.borrow();
                idle.iter()
                    .map(|c| Idle {
                        organisation: c.organisation.clone(),
                    })
                    .collect()
            };
            let now = clock::now();
            let paused = self
                .limited
                .get()
                .is_some_and(|at| now.saturating_sub(at) < LIMIT_PAUSE);
            let total = self.total.get();
            let mut room = self.room.get();
            if paused {
                room.limit = total;
                room.ready = total;
            }
            let chosen = choose(&idle, total, room);
            match paced(chosen, self.opening.get(), self.endpoint.slots) {
                Plan::Use(index) => {
                    let connection = self.idle.borrow_mut().remove(index);
                    return Ok(Lease::new(self.clone(), connection));
                }
                Plan::Open => return self.open(organisation).await,
                Plan::Replace(index) => {
                    drop(self.idle.borrow_mut().remove(index));
                    self.total.set(self.total.get().saturating_sub(1));
                    return self.open(organisation).await;
                }
                Plan::Wait => self.wait(organisation, place, until).await?,
            }
        }
    }

    /// Takes a slot for one statement before `until`.
    pub async fn slot(self: &Rc<Self>, priority: u32, until: Duration) -> Result<Slot<P>, Failure> {
        let now = clock::now();
        let entry = self.admission.borrow_mut().enter(priority, until, now);
        let ticket = match entry {
            Entry::Granted => return Ok(Slot::new(self.clone())),
            Entry::Refused(_) => return Err(failure(ErrorCode::Busy, Cause::Queue)),
            Entry::Waiting(ticket) => ticket,
        };
        let (sender, receiver) = oneshot::channel();
        self.slot_waiters.borrow_mut().insert(ticket, sender);
        let waited = tokio::time::timeout(until.saturating_sub(now), receiver).await;
        if let Ok(Ok(())) = waited {
            return Ok(Slot::new(self.clone()));
        }
        // A grant that crossed the time limit is passed on.
        if self.slot_waiters.borrow_mut().remove(&ticket).is_none() {
            drop(Slot::new(self.clone()));
        }
        self.admission.borrow_mut().cancel(ticket);
        Err(failure(ErrorCode::Busy, Cause::Queue))
    }

    pub(super) fn on_slot_free(&self, used: Duration) {
        self.admission.borrow_mut().leave(used);
        self.admit();
    }

    pub(super) fn on_returned(&self, mut connection: Connection<P>) {
        if connection.generation != self.generation.get()
            || self.total.get() > self.room.get().limit
        {
            drop(connection);
            self.on_closed();
            return;
        }
        connection.used = clock::now();
        self.idle.borrow_mut().push(connection);
        self.wake();
    }

    pub(super) fn on_closed(&self) {
        self.total.set(self.total.get().saturating_sub(1));
        self.wake();
    }

    fn admit(&self) {
        loop {
            let granted = self.admission.borrow_mut().next(clock::now());
            let Some(ticket) = granted else { return };
            let waiter = self.slot_waiters.borrow_mut().remove(&ticket);
            let delivered = waiter.is_some_and(|w| w.send(()).is_ok());
            if !delivered {
                self.admission.borrow_mut().leave(Duration::ZERO);
            }
        }
    }

    fn close_rested(&self) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|c| now.saturating_sub(c.used) < IDLE_LIMIT);
        let closed = (before - idle.len()) as u32;
        self.total.set(self.total.get().saturating_sub(closed));
    }

    async fn open(self: &Rc<Self>, organisation: &str) -> Result<Lease<P>, Failure> {
        let now = clock::now();
        let recent = |at| now.saturating_sub(at) < FAILURE_PAUSE;
        if self.failed.get().is_some_and(recent) {
            return Err(failure(ErrorCode::Busy, Cause::Connection));
        }
        // The opening is counted before it is awaited, so that the limit holds.
        self.total.set(self.total.get() + 1);
        let guard = on_drop(|| self.on_closed());
        let e = &self.endpoint;
        let generation = self.generation.get();
        self.opening.set(self.opening.get() + 1);
        let ending = on_drop(|| {
            self.opening.set(self.opening.get() - 1);
            self.wake();
        });
        let opened = Connection::open(e.address, &e.service, &e.member, organisation).await;
        drop(ending);
        match opened {
            Ok(mut connection) => {
                guard.disarm();
                connection.generation = generation;
                self.on_answer();
                Ok(Lease::new(self.clone(), connection))
            }
            Err(ConnectionError::Refused(code)) => {
                let member = &e.member;
                tracing::debug!(event = 622, member, ?code, "connection refused by a member");
                if code == ErrorCode::ConnectionLimit {
                    self.limited.set(Some(now));
                }
                if code != ErrorCode::Misrouted {
                    self.on_answer();
                }
                Err(failure(ErrorCode::Busy, Cause::Member))
            }
            Err(error) => {
                self.on_silence(&error, now);
                Err(failure(ErrorCode::Busy, Cause::Connection))
            }
        }
    }

    /// Waits for a connection or the room for one. Looks again after `LOOK_AGAIN`, since room also
    /// comes with time: after a refusal by the member, or when another host has closed some.
    async fn wait(
        self: &Rc<Self>,
        organisation: &str,
        place: (u32, u64),
        until: Duration,
    ) -> Result<(), Failure> {
        let left = until.saturating_sub(clock::now());
        if left.is_zero() {
            return Err(failure(ErrorCode::Busy, Cause::Queue));
        }
        let (sender, receiver) = oneshot::channel();
        let entry = (organisation.to_owned(), sender);
        self.waiters.borrow_mut().insert(place, entry);
        let woken = tokio::time::timeout(left.min(LOOK_AGAIN), receiver).await;
        if !matches!(woken, Ok(Ok(()))) && self.waiters.borrow_mut().remove(&place).is_none() {
            // A wake-up that crossed the time limit is passed on.
            self.wake();
        }
        Ok(())
    }

    /// Wakes one waiting caller; one of the organisation of the newest idle connection first.
    fn wake(&self) {
        let newest = self.idle.borrow().last().map(|c| c.organisation.clone());
        let mut waiters = self.waiters.borrow_mut();
        let same = waiters
            .iter()
            .find(|(_, w)| Some(&w.0) == newest.as_ref())
            .map(|(key, _)| *key);
        let first = waiters.first_key_value().map(|(key, _)| *key);
        // Another organisation's caller costs a new connection; priority still goes first.
        let key = match (same, first) {
            (Some(same), Some(first)) if same.0 <= first.0 => Some(same),
            (_, first) => first,
        };
        if let Some((_, sender)) = key.and_then(|k| waiters.remove(&k)) {
            // A caller that is gone looks again by itself, as do the others.
            let _ = sender.send(());
        }
    }
}
