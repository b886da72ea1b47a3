//! Pooled connections to one member.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::objects::member::Member;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::MemberId;
use tokio::sync::watch;

use crate::drains::Drains;
use crate::limits::LimitError;
use crate::limits::Limits;
use crate::pool::connection::Connection;
use crate::pool::lease::Lease;
use crate::pool::open_count::OpenCount;
use crate::pool::open_error::OpenError;
use crate::pool::open_slot::OpenSlot;
use crate::verbs::Verbs;

/// User name of data connections.
const DATA_USER: &str = "proxy";
/// An idle connection that has received nothing for longer is pinged before use.
const CHECK_AFTER: Duration = Duration::from_millis(500);
/// Time limit for the ping, which takes no slot of the member. Latency between regions is 8 ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for opening a connection, which usually takes about 12 ms.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why no connection could be acquired. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum LeaseError {
    #[error(transparent)]
    Limit(#[from] LimitError),
    #[error(transparent)]
    Open(#[from] OpenError),
}

/// Pooled connections to one member.
#[derive(Debug)]
pub struct MemberPool {
    pub database: DatabaseId,
    pub member: MemberId,
    pub address: SocketAddr,
    limits: Limits,
    state: Mutex<State>,
    /// Open connections, busy or idle.
    open: Arc<OpenCount>,
    place: Member,
    drains: Drains,
    /// Connections that received nothing since this time are considered dead.
    silent: watch::Sender<Option<Instant>>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Connection>,
    allowance: u32,
    /// The member is draining, so connections are closed as they become idle.
    leaving: bool,
}

impl MemberPool {
    /// Creates a pool and starts a task that follows the allowance until the pool is dropped.
    pub fn spawn(database: DatabaseId, place: Member, limits: Limits, drains: Drains) -> Arc<Self> {
        let (member, address) = (place.name.clone(), place.address);
        let mut allowance = limits.allowance(&database, &member);
        let first = *allowance.borrow_and_update();
        let open = OpenCount::new(limits.clone(), database.clone(), member.clone());
        let pool = Arc::new(Self {
            database,
            member,
            address,
            limits,
            state: Mutex::new(State {
                allowance: first,
                ..State::default()
            }),
            open,
            place,
            drains,
            silent: watch::Sender::new(None),
        });
        let weak = Arc::downgrade(&pool);
        tokio::spawn(async move {
            while allowance.changed().await.is_ok() {
                let Some(pool) = weak.upgrade() else { break };
                let value = *allowance.borrow_and_update();
                pool.set_allowance(value);
            }
        });
        pool
    }

    /// Acquires a connection, preferably one already set up for the organisation.
    pub async fn lease(
        self: &Arc<Self>,
        organisation: &str,
        deadline: Instant,
    ) -> Result<Lease, LeaseError> {
        let permit = self
            .limits
            .connection(&self.database, &self.member, organisation, deadline)
            .await?;
        while let Some(mut connection) = self.take_idle(organisation) {
            if connection.heard.elapsed() < CHECK_AFTER {
                return Ok(Lease::new(Arc::clone(self), connection, permit));
            }
            let check = tokio::time::timeout(CHECK_TIMEOUT, connection.ping()).await;
            let asked = Instant::now() - CHECK_TIMEOUT;
            match check {
                Ok(Ok(())) => return Ok(Lease::new(Arc::clone(self), connection, permit)),
                Ok(Err(_)) => {}
                Err(_) => self.on_silence(asked),
            }
        }
        let mut slot = self.reserve(deadline).await?;
        let limit = deadline.min(Instant::now() + OPEN_TIMEOUT);
        let mut connection =
            Connection::open(self.address, DATA_USER, &self.database, limit).await?;
        slot.set_work(self.drains.at_member(&self.place));
        connection.slot = Some(slot);
        Ok(Lease::new(Arc::clone(self), connection, permit))
    }

    /// Waits until one more connection may be opened. The permit normally guarantees that, but a
    /// connection that is being closed still counts as open.
    async fn reserve(&self, deadline: Instant) -> Result<OpenSlot, LeaseError> {
        loop {
            let freed = self.open.freed();
            if let Some(slot) = self.open.reserve() {
                return Ok(slot);
            }
            if tokio::time::timeout_at(deadline.into(), freed)
                .await
                .is_err()
            {
                return Err(LeaseError::Limit(LimitError::Queue {
                    database: self.database.clone(),
                    member: self.member.clone(),
                    wait: Duration::ZERO,
                }));
            }
        }
    }

    /// Handles a request sent at `sent` that had no response. If a new connection works, closes
    /// every connection that has received nothing since then.
    pub fn on_silence(self: &Arc<Self>, sent: Instant) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let limit = Instant::now() + OPEN_TIMEOUT;
            // A control connection, because the silent data connections still count against the
            // connection limit of the member.
            let probe = Verbs::open(pool.address, &pool.database, limit).await;
            if probe.is_ok() {
                tracing::warn!(
                    event = 210,
                    database = pool.database,
                    member = pool.member,
                    "a connection stopped responding while a new one works; closing unresponsive connections"
                );
                pool.retire(sent);
            }
        });
    }

    /// Closes idle connections that received nothing since a time, and notifies busy ones.
    fn retire(&self, since: Instant) {
        let mut state = self.state();
        state.idle.retain(|connection| connection.heard >= since);
        drop(state);
        self.silent.send_replace(Some(since));
    }

    /// Time since which busy connections must have received something, updated by `retire`.
    pub(crate) fn silent(&self) -> watch::Receiver<Option<Instant>> {
        self.silent.subscribe()
    }

    /// Takes a connection back, or closes it if the pool exceeds its allowance or is draining.
    pub(crate) fn give_back(&self, connection: Connection) {
        let mut state = self.state();
        if !state.leaving && self.open_connections() <= state.allowance {
            state.idle.push(connection);
        }
    }

    /// Starts or ends draining: while it lasts, connections are closed as soon as they are idle.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        let mut state = self.state();
        state.leaving = leaving;
        let closed = if leaving {
            std::mem::take(&mut state.idle)
        } else {
            Vec::new()
        };
        drop(state);
        drop(closed);
    }

    /// Number of open connections, busy or idle.
    pub fn open_connections(&self) -> u32 {
        self.open.count()
    }

    fn set_allowance(&self, allowance: u32) {
        let mut state = self.state();
        state.allowance = allowance;
        while self.open_connections() > state.allowance && !state.idle.is_empty() {
            state.idle.remove(0);
        }
    }

    fn take_idle(&self, organisation: &str) -> Option<Connection> {
        let mut state = self.state();
        while !state.idle.is_empty() {
            let carries = |c: &Connection| c.link.organisation() == Some(organisation);
            let at = state.idle.iter().rposition(carries);
            let at = at.unwrap_or(state.idle.len() - 1);
            let mut connection = state.idle.remove(at);
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}
