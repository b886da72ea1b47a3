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

use crate::drains::DrainTracker;
use crate::limits::LimitError;
use crate::limits::Limits;
use crate::member_commands::CommandConnection;
use crate::pool::connection::Connection;
use crate::pool::connection_count::ConnectionCount;
use crate::pool::connection_slot::ConnectionSlot;
use crate::pool::open_error::OpenError;
use crate::pool::pooled_connection::PooledConnection;

/// User name of data connections.
const DATA_USER: &str = "proxy";
/// An idle connection that has received nothing for longer is pinged before use.
const PING_AFTER: Duration = Duration::from_millis(500);
/// Time limit for the ping, which takes no slot of the member. Latency between regions is 8 ms.
const PING_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for opening a connection, which usually takes about 12 ms.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1000);

/// Why no connection could be acquired. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum AcquireError {
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
    open: Arc<ConnectionCount>,
    config: Member,
    drains: DrainTracker,
    /// Connections that received nothing since this time are considered dead.
    unresponsive_since: watch::Sender<Option<Instant>>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<Connection>,
    allowance: u32,
    /// The member is draining, so connections are closed as they become idle.
    draining: bool,
}

impl MemberPool {
    /// Creates a pool and starts a task that follows the allowance until the pool is dropped.
    pub fn spawn(
        database: DatabaseId,
        config: Member,
        limits: Limits,
        drains: DrainTracker,
    ) -> Arc<Self> {
        let (member, address) = (config.name.clone(), config.address);
        let mut allowance = limits.allowance(&database, &member);
        let initial_allowance = *allowance.borrow_and_update();
        let open = ConnectionCount::new(limits.clone(), database.clone(), member.clone());
        let pool = Arc::new(Self {
            database,
            member,
            address,
            limits,
            state: Mutex::new(State {
                allowance: initial_allowance,
                ..State::default()
            }),
            open,
            config,
            drains,
            unresponsive_since: watch::Sender::new(None),
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
    pub async fn acquire(
        self: &Arc<Self>,
        organisation: &str,
        deadline: Instant,
    ) -> Result<PooledConnection, AcquireError> {
        let permit = self
            .limits
            .connection(&self.database, &self.member, organisation, deadline)
            .await?;
        while let Some(mut connection) = self.take_idle(organisation) {
            if connection.last_received.elapsed() < PING_AFTER {
                return Ok(PooledConnection::new(Arc::clone(self), connection, permit));
            }
            let ping = tokio::time::timeout(PING_TIMEOUT, connection.ping()).await;
            let ping_sent = Instant::now() - PING_TIMEOUT;
            match ping {
                Ok(Ok(())) => {
                    return Ok(PooledConnection::new(Arc::clone(self), connection, permit));
                }
                Ok(Err(_)) => {}
                Err(_) => self.on_response_timeout(ping_sent),
            }
        }
        let mut slot = self.reserve(deadline).await?;
        let limit = deadline.min(Instant::now() + OPEN_TIMEOUT);
        let mut connection =
            Connection::open(self.address, DATA_USER, &self.database, limit).await?;
        slot.set_work(self.drains.track_member(&self.config));
        connection.slot = Some(slot);
        Ok(PooledConnection::new(Arc::clone(self), connection, permit))
    }

    /// Waits until one more connection may be opened. The permit normally guarantees that, but a
    /// connection that is being closed still counts as open.
    async fn reserve(&self, deadline: Instant) -> Result<ConnectionSlot, AcquireError> {
        loop {
            let freed = self.open.freed();
            if let Some(slot) = self.open.reserve() {
                return Ok(slot);
            }
            if tokio::time::timeout_at(deadline.into(), freed)
                .await
                .is_err()
            {
                return Err(AcquireError::Limit(LimitError::Queue {
                    database: self.database.clone(),
                    member: self.member.clone(),
                    wait: Duration::ZERO,
                }));
            }
        }
    }

    /// Handles a request sent at `sent` that had no response. If a new connection works, closes
    /// every connection that has received nothing since then.
    pub fn on_response_timeout(self: &Arc<Self>, sent: Instant) {
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            let limit = Instant::now() + OPEN_TIMEOUT;
            // A control connection, because the unresponsive data connections still count against
            // the connection limit of the member.
            let probe = CommandConnection::open(pool.address, &pool.database, limit).await;
            if probe.is_ok() {
                tracing::warn!(
                    event = 210,
                    database = pool.database,
                    member = pool.member,
                    "a connection stopped responding while a new one works; closing unresponsive connections"
                );
                pool.close_unresponsive(sent);
            }
        });
    }

    /// Closes idle connections that received nothing since a time, and notifies busy ones.
    fn close_unresponsive(&self, since: Instant) {
        let mut state = self.state();
        state
            .idle
            .retain(|connection| connection.last_received >= since);
        drop(state);
        self.unresponsive_since.send_replace(Some(since));
    }

    /// Time since which busy connections must have received something, updated by
    /// `close_unresponsive`.
    pub(crate) fn unresponsive_since(&self) -> watch::Receiver<Option<Instant>> {
        self.unresponsive_since.subscribe()
    }

    /// Takes a connection back, or closes it if the pool exceeds its allowance or is draining.
    pub(crate) fn return_to_pool(&self, connection: Connection) {
        let mut state = self.state();
        if !state.draining && self.open_connections() <= state.allowance {
            state.idle.push(connection);
        }
    }

    /// Starts or ends draining: while it lasts, connections are closed as soon as they are idle.
    pub(crate) fn set_draining(&self, draining: bool) {
        let mut state = self.state();
        state.draining = draining;
        let closed = if draining {
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
            let is_set_up =
                |c: &Connection| c.connection_state.organisation() == Some(organisation);
            let index = state.idle.iter().rposition(is_set_up);
            let index = index.unwrap_or(state.idle.len() - 1);
            let mut connection = state.idle.remove(index);
            if connection.has_no_input() {
                return Some(connection);
            }
        }
        None
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }
}
