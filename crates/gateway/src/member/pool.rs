//! The connections and statement slots of one member.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;

use crate::clock;
use crate::member::connection::Connection;
use crate::member::connection_error::ConnectionError;
use crate::member::connection_queue::ConnectionQueue;
use crate::member::drop_guard::on_drop;
use crate::member::member_pace::MemberPace;
use crate::member::pooled_connection::PooledConnection;
use crate::member::slot::Slot;
use crate::member::slot_queue::SlotQueue;
use crate::metrics::Metrics;
use crate::model::error_code::ErrorCode;
use crate::model::member_load::MemberLoad;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::model::statement_kind::StatementKind;
use crate::platform::Platform;
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
    waiters: ConnectionQueue,
    slots: Rc<SlotQueue>,
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
        let slots = SlotQueue::new(endpoint.member.clone(), pace.window());
        Rc::new(Self {
            endpoint,
            pace,
            idle: RefCell::default(),
            total: Cell::new(0),
            opening: Cell::new(0),
            limits: Cell::new(ConnectionLimits::new(1, 1)),
            waiters: ConnectionQueue::default(),
            slots,
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

    /// The load of the member as this host sees it.
    pub fn load(&self) -> MemberLoad {
        self.pace.load(self.slots.waiting())
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

    /// Takes a connection for an organisation, waiting until the deadline at the latest.
    pub async fn connection(
        self: &Rc<Self>,
        request: Request,
    ) -> Result<PooledConnection<P>, Failure> {
        let organisation = &request.organisation;
        let choose =
            |idle: &[IdleConnection], total, limits| plan(organisation, idle, total, limits);
        self.acquire(choose, &request).await
    }

    /// Takes any connection for one of the proxy's own commands.
    pub async fn command_connection(
        self: &Rc<Self>,
        until: Duration,
    ) -> Result<PooledConnection<P>, Failure> {
        let request = Request {
            organisation: COMMAND_ORGANISATION.to_owned(),
            weight: 1.0,
            priority: 0,
            kind: StatementKind::Read,
            deadline: until,
            in_transaction: false,
        };
        self.acquire(plan_command, &request).await
    }

    async fn acquire(
        self: &Rc<Self>,
        choose: impl Fn(&[IdleConnection], u32, ConnectionLimits) -> Plan,
        request: &Request,
    ) -> Result<PooledConnection<P>, Failure> {
        let organisation = &request.organisation;
        let (ticket, arrived) = (self.waiters.ticket(), clock::now());
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
                    if request.deadline <= clock::now() {
                        return Err(failure(ErrorCode::Busy, Cause::Queue));
                    }
                    if !self.waiters.wait(ticket, request, arrived).await {
                        self.wake_next();
                    }
                }
            }
        }
    }

    /// Takes a slot for one statement, waiting until its deadline at the latest.
    pub async fn slot(&self, request: Request, metrics: &Metrics) -> Result<Slot, Failure> {
        self.slots.acquire(request, metrics).await
    }

    /// Sets how many statements may run at the member at once.
    pub fn set_capacity(&self, capacity: u32) {
        self.slots.set_capacity(capacity);
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

    /// Closes idle connections that were not used for some time, and those that must give up their memory.
    pub fn close_expired(&self) {
        let now = clock::now();
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|c| now.saturating_sub(c.last_used) < IDLE_TIMEOUT && !c.must_close());
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

    /// Wakes a caller that waits for a connection.
    fn wake_next(&self) {
        let newest = self.idle.borrow().last().map(|c| c.organisation.clone());
        self.waiters.wake_next(newest.as_deref());
    }
}
