//! The connections and statement slots of one member.

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
use crate::member::drop_guard::on_drop;
use crate::member::member_pace::MemberPace;
use crate::member::pooled_connection::PooledConnection;
use crate::member::slot::Slot;
use crate::model::error_code::ErrorCode;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::model::statement_kind::StatementKind;
use crate::platform::Platform;
use crate::policy::admission::AdmissionDecision;
use crate::policy::admission::AdmissionQueue;
use crate::policy::admission::Ticket;
use crate::policy::admission_request::Request;
use crate::policy::cold_start::ColdStartLimiter;
use crate::policy::cold_start::SendDecision;
use crate::policy::connection_plan::ConnectionLimits;
use crate::policy::connection_plan::IdleConnection;
use crate::policy::connection_plan::Plan;
use crate::policy::connection_plan::limit_opening;
use crate::policy::connection_plan::plan;
use crate::policy::connection_plan::plan_command;
use crate::policy::pace::Answered;

/// After a failed attempt to connect, callers that need a new connection are refused without
/// another attempt for this long.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// After the member refused a connection because it has too many, the pool opens none for this
/// long.
const CONNECTION_LIMIT_DELAY: Duration = Duration::from_millis(200);
/// Connections that were idle for longer are closed instead of reused, since the network path may
/// have failed unnoticed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A caller that waits for a connection checks the pool again after this time at the latest.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Organisation of connections that are opened for the proxy's own commands.
const COMMAND_ORGANISATION: &str = "-";

/// Identity and address of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    pub service: String,
    pub member: MemberId,
    pub address: SocketAddr,
    pub slots: u32,
}

/// Callers that wait for a connection, in order of priority and arrival, each with its
/// organisation.
type ConnectionWaiters = BTreeMap<(u32, u64), (OrganisationId, oneshot::Sender<()>)>;

/// Connections of this host to one member.
pub struct Pool<P: Platform> {
    pub endpoint: Endpoint,
    pub pace: Rc<MemberPace>,
    /// Idle connections; the last one was used most recently.
    idle: RefCell<Vec<Connection<P>>>,
    /// Number of all connections of this pool, in use or idle.
    total: Cell<u32>,
    /// Number of connections that are being opened; `total` includes them.
    opening: Cell<u32>,
    limits: Cell<ConnectionLimits>,
    connection_waiters: RefCell<ConnectionWaiters>,
    next_waiter: Cell<u64>,
    admission: RefCell<AdmissionQueue>,
    slot_waiters: RefCell<BTreeMap<Ticket, oneshot::Sender<()>>>,
    /// Connections of an older generation are closed when they are returned.
    generation: Cell<u64>,
    /// When the member last failed to answer; `None` if it has answered since.
    last_failure: Cell<Option<Duration>>,
    /// When the member last refused a connection because it has too many.
    last_limit_refusal: Cell<Option<Duration>>,
    last_answer: Cell<Option<Duration>>,
    cold: RefCell<ColdStartLimiter>,
}

impl<P: Platform> Pool<P> {
    pub fn new(endpoint: Endpoint, pace: Rc<MemberPace>) -> Rc<Self> {
        let capacity = pace.window();
        Rc::new(Self {
            endpoint,
            pace,
            idle: RefCell::default(),
            total: Cell::new(0),
            opening: Cell::new(0),
            limits: Cell::new(ConnectionLimits::new(1, 1)),
            connection_waiters: RefCell::default(),
            next_waiter: Cell::new(0),
            admission: RefCell::new(AdmissionQueue::new(capacity)),
            slot_waiters: RefCell::default(),
            generation: Cell::new(0),
            last_failure: Cell::new(None),
            last_limit_refusal: Cell::new(None),
            last_answer: Cell::new(None),
            cold: RefCell::default(),
        })
    }

    /// Sets how many connections this host may hold and how many organisations share them.
    pub fn set_limit(&self, limit: u32, organisations: usize) {
        self.limits
            .set(ConnectionLimits::new(limit.max(1), organisations));
        self.close_excess();
    }

    /// Closes idle connections beyond the limit, since another host may need them.
    fn close_excess(&self) {
        let excess = self.total.get().saturating_sub(self.limits.get().limit) as usize;
        let mut idle = self.idle.borrow_mut();
        let closed = excess.min(idle.len());
        // The first ones have been idle longest.
        idle.drain(..closed);
        self.total.set(self.total.get() - closed as u32);
    }

    /// Sets the statement rate of a cold member and whether this host is its home. A warm member
    /// has no rate.
    pub fn set_cold(&self, rate: Option<f64>, home: bool) {
        self.cold.borrow_mut().set_rate(rate, home, clock::now());
    }

    /// Waits until the rate limit of a cold member permits a statement. The first statement of an
    /// operation is refused instead of waiting, since another member may be warm.
    pub async fn wait_for_rate(&self, is_first: bool, until: Duration) -> Result<(), Failure> {
        loop {
            let now = clock::now();
            let pace = self.cold.borrow_mut().take(now);
            match pace {
                SendDecision::Send => return Ok(()),
                SendDecision::Wait(left) if !is_first && now + left < until => {
                    tokio::time::sleep(left).await;
                }
                SendDecision::Wait(_) | SendDecision::Refuse => {
                    return Err(failure(ErrorCode::Busy, Cause::Member));
                }
            }
        }
    }

    /// Time of the member's last answer.
    pub fn last_answer(&self) -> Option<Duration> {
        self.last_answer.get()
    }

    /// Whether the member could not be reached and has not answered since.
    pub fn is_failing(&self) -> bool {
        self.last_failure.get().is_some()
    }

    /// Records that the member answered.
    pub fn on_answer(&self) {
        self.last_answer.set(Some(clock::now()));
        self.pace.on_reached();
        self.set_capacity(self.pace.window());
        if self.last_failure.take().is_some() {
            let member = &self.endpoint.member;
            tracing::info!(event = 621, member, "member can be reached again");
        }
    }

    /// Records how a statement ended, `None` if without an answer. `others_usual` tells whether another
    /// member of the service answers at its usual speed.
    pub fn on_statement_end(&self, answer: Option<Answered>, others_usual: impl FnOnce() -> bool) {
        match answer {
            Some(answer) => self.pace.on_answer(answer, others_usual),
            None => self.pace.on_unanswered(),
        }
        self.set_capacity(self.pace.window());
    }

    /// Records that a command sent at `sent` failed on its connection. If it got no answer, and the
    /// member has not answered on another connection since, the idle connections may be broken as well
    /// and are closed.
    pub fn on_error(&self, error: &ConnectionError, sent: Duration) {
        if !error.is_silence() {
            let member = &self.endpoint.member;
            tracing::warn!(event = 624, member, %error, "one connection to a member is not used again");
            return;
        }
        if self.last_answer.get().is_some_and(|at| at > sent) {
            let member = &self.endpoint.member;
            tracing::debug!(event = 623, member, %error, "one connection to a member failed");
            return;
        }
        self.pace.on_failure();
        if self.last_failure.replace(Some(clock::now())).is_none() {
            let member = &self.endpoint.member;
            tracing::warn!(event = 620, member, %error, "member cannot be reached");
        }
        self.close_connections();
    }

    /// Closes the idle connections now, and those in use when they are returned.
    pub fn close_connections(&self) {
        self.generation.set(self.generation.get() + 1);
        let closed = self.idle.take().len() as u32;
        self.total.set(self.total.get().saturating_sub(closed));
        self.wake_next();
    }

    /// Takes a connection for an organisation, waiting until `until` at the latest.
    pub async fn connection(
        self: &Rc<Self>,
        organisation: &str,
        priority: u32,
        until: Duration,
    ) -> Result<PooledConnection<P>, Failure> {
        let choose =
            |idle: &[IdleConnection], total, limits| plan(organisation, idle, total, limits);
        self.acquire(choose, organisation, priority, until).await
    }

    /// Takes any connection for one of the proxy's own commands.
    pub async fn command_connection(
        self: &Rc<Self>,
        until: Duration,
    ) -> Result<PooledConnection<P>, Failure> {
        self.acquire(plan_command, COMMAND_ORGANISATION, 0, until)
            .await
    }

    async fn acquire(
        self: &Rc<Self>,
        choose: impl Fn(&[IdleConnection], u32, ConnectionLimits) -> Plan,
        organisation: &str,
        priority: u32,
        until: Duration,
    ) -> Result<PooledConnection<P>, Failure> {
        let queue_key = (priority, self.next_waiter.get());
        self.next_waiter.set(self.next_waiter.get() + 1);
        loop {
            self.close_expired();
            let idle: Vec<IdleConnection> = {
                let idle = self.idle.borrow();
                idle.iter()
                    .map(|c| IdleConnection {
                        organisation: c.organisation.clone(),
                    })
                    .collect()
            };
            let now = clock::now();
            let paused = self
                .last_limit_refusal
                .get()
                .is_some_and(|at| now.saturating_sub(at) < CONNECTION_LIMIT_DELAY);
            let total = self.total.get();
            let mut limits = self.limits.get();
            if paused {
                limits.limit = total;
                limits.soft_limit = total;
            }
            let chosen = choose(&idle, total, limits);
            match limit_opening(chosen, self.opening.get(), self.endpoint.slots) {
                Plan::Use(index) => {
                    let mut connection = self.idle.borrow_mut().remove(index);
                    if connection.is_stale() {
                        let member = &self.endpoint.member;
                        tracing::debug!(event = 627, member, "idle connection is stale");
                        drop(connection);
                        self.on_closed();
                        continue;
                    }
                    return Ok(PooledConnection::new(self.clone(), connection));
                }
                Plan::Open => return self.open(organisation).await,
                Plan::Replace(index) => {
                    drop(self.idle.borrow_mut().remove(index));
                    self.total.set(self.total.get().saturating_sub(1));
                    return self.open(organisation).await;
                }
                Plan::Wait => {
                    self.wait_for_connection(organisation, queue_key, until)
                        .await?
                }
            }
        }
    }

    /// Takes a slot for one statement, waiting until its deadline at the latest.
    pub async fn slot(self: &Rc<Self>, request: Request) -> Result<Slot<P>, Failure> {
        let now = clock::now();
        let (kind, until) = (request.kind, request.deadline);
        let entry = self.admission.borrow_mut().request(request, now);
        let ticket = match entry {
            AdmissionDecision::Granted => return Ok(Slot::new(self.clone(), kind)),
            AdmissionDecision::Refused(_) => return Err(failure(ErrorCode::Busy, Cause::Queue)),
            AdmissionDecision::Waiting(ticket) => ticket,
        };
        let (sender, receiver) = oneshot::channel();
        self.slot_waiters.borrow_mut().insert(ticket, sender);
        let waited = tokio::time::timeout(until.saturating_sub(now), receiver).await;
        if let Ok(Ok(())) = waited {
            return Ok(Slot::new(self.clone(), kind));
        }
        // The slot was granted just as the wait timed out: pass it on to the next waiter.
        if self.slot_waiters.borrow_mut().remove(&ticket).is_none() {
            drop(Slot::new(self.clone(), kind));
        }
        self.admission.borrow_mut().cancel(ticket);
        Err(failure(ErrorCode::Busy, Cause::Queue))
    }

    /// Sets how many statements may run at the member at once.
    pub fn set_capacity(&self, capacity: u32) {
        self.admission.borrow_mut().set_capacity(capacity);
        self.admit_waiting();
    }

    pub(super) fn on_slot_free(&self, kind: StatementKind, used: Duration) {
        self.admission.borrow_mut().release(kind, used);
        self.admit_waiting();
    }

    pub(super) fn on_returned(&self, mut connection: Connection<P>) {
        if connection.generation != self.generation.get()
            || self.total.get() > self.limits.get().limit
        {
            drop(connection);
            self.on_closed();
            return;
        }
        connection.last_used = clock::now();
        self.idle.borrow_mut().push(connection);
        self.wake_next();
    }

    pub(super) fn on_closed(&self) {
        self.total.set(self.total.get().saturating_sub(1));
        self.wake_next();
    }

    fn admit_waiting(&self) {
        loop {
            let granted = self.admission.borrow_mut().grant_next(clock::now());
            let Some(ticket) = granted else { return };
            let waiter = self.slot_waiters.borrow_mut().remove(&ticket);
            let delivered = waiter.is_some_and(|w| w.send(()).is_ok());
            if !delivered {
                self.admission
                    .borrow_mut()
                    .release(StatementKind::Read, Duration::ZERO);
            }
        }
    }

    fn close_expired(&self) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|c| now.saturating_sub(c.last_used) < IDLE_TIMEOUT);
        let closed = (before - idle.len()) as u32;
        self.total.set(self.total.get().saturating_sub(closed));
    }

    async fn open(self: &Rc<Self>, organisation: &str) -> Result<PooledConnection<P>, Failure> {
        let now = clock::now();
        let recent = |at| now.saturating_sub(at) < RECONNECT_DELAY;
        if self.last_failure.get().is_some_and(recent) {
            return Err(failure(ErrorCode::Busy, Cause::Connection));
        }
        // Counted before the connection is open, so that concurrent callers cannot exceed the
        // limit.
        self.total.set(self.total.get() + 1);
        let guard = on_drop(|| self.on_closed());
        let e = &self.endpoint;
        let generation = self.generation.get();
        self.opening.set(self.opening.get() + 1);
        let ending = on_drop(|| {
            self.opening.set(self.opening.get() - 1);
            self.wake_next();
        });
        let opened = Connection::open(e.address, &e.service, &e.member, organisation).await;
        drop(ending);
        match opened {
            Ok(mut connection) => {
                guard.disarm();
                connection.generation = generation;
                self.on_answer();
                Ok(PooledConnection::new(self.clone(), connection))
            }
            Err(ConnectionError::Refused(code)) => {
                let member = &e.member;
                tracing::debug!(event = 622, member, ?code, "connection refused by a member");
                if code == ErrorCode::ConnectionLimit {
                    self.last_limit_refusal.set(Some(now));
                }
                if code != ErrorCode::Misrouted {
                    self.on_answer();
                }
                Err(failure(ErrorCode::Busy, Cause::Member))
            }
            Err(error) if error.is_unsent() => Err(error.failure(false)),
            Err(error) => {
                self.on_error(&error, now);
                if !error.is_silence() {
                    // What listens there does not accept connections as a member does.
                    self.last_failure.set(Some(now));
                    self.pace.on_failure();
                }
                Err(failure(ErrorCode::Busy, Cause::Connection))
            }
        }
    }

    /// Waits until a connection may have become free or may be opened. Returns after
    /// `RECHECK_INTERVAL` at the latest, since capacity also becomes available without a wake-up:
    /// when the delay after a refusal ends, or when another host closes connections.
    async fn wait_for_connection(
        self: &Rc<Self>,
        organisation: &str,
        queue_key: (u32, u64),
        until: Duration,
    ) -> Result<(), Failure> {
        let left = until.saturating_sub(clock::now());
        if left.is_zero() {
            return Err(failure(ErrorCode::Busy, Cause::Queue));
        }
        let (sender, receiver) = oneshot::channel();
        let entry = (organisation.to_owned(), sender);
        self.connection_waiters
            .borrow_mut()
            .insert(queue_key, entry);
        let woken = tokio::time::timeout(left.min(RECHECK_INTERVAL), receiver).await;
        if !matches!(woken, Ok(Ok(())))
            && self
                .connection_waiters
                .borrow_mut()
                .remove(&queue_key)
                .is_none()
        {
            // The wake-up arrived just as the wait timed out: pass it on to the next caller.
            self.wake_next();
        }
        Ok(())
    }

    /// Wakes one waiting caller. Among callers of the highest priority, one of the organisation of
    /// the newest idle connection goes first.
    fn wake_next(&self) {
        let newest = self.idle.borrow().last().map(|c| c.organisation.clone());
        let mut waiters = self.connection_waiters.borrow_mut();
        let same = waiters
            .iter()
            .find(|(_, w)| Some(&w.0) == newest.as_ref())
            .map(|(key, _)| *key);
        let first = waiters.first_key_value().map(|(key, _)| *key);
        // A caller of another organisation needs a new connection, but priority takes precedence.
        let key = match (same, first) {
            (Some(same), Some(first)) if same.0 <= first.0 => Some(same),
            (_, first) => first,
        };
        if let Some((_, sender)) = key.and_then(|k| waiters.remove(&k)) {
            // If this caller is gone, the others check the pool again after `RECHECK_INTERVAL`.
            let _ = sender.send(());
        }
    }
}
