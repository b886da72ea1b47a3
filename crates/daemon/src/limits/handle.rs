//! Handle by which the data path admits statements and acquires connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_core::coordinator::Coordinator;
use magnoliahatch_core::fair_queue::EnqueueOutcome;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::limit::LimitId;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::limits::channel::LimitsChannel;
use crate::limits::connection_permit::ConnectionPermit;
use crate::limits::driver;
use crate::limits::limit_error::LimitError;
use crate::limits::member_queue::MemberQueue;
use crate::limits::rate_queue::MAX_RATE_WAIT;
use crate::limits::seat_task;
use crate::limits::settings::LimitSettings;
use crate::limits::shared::Shared;
use crate::limits::shared::State;

/// Longest wait for a connection in the fair queue.
const MAX_CONNECTION_WAIT: Duration = Duration::from_secs(5);
/// Longest time that a new session waits until this host may admit its statements; startup takes a
/// few hundred milliseconds.
const READY_TIMEOUT: Duration = Duration::from_secs(5);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after which a client is told to retry a statement that exceeded the rate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Enforces the contracts together with the other hosts. Clones share one state. The tasks end when
/// the channel to the mesh or the configuration channel closes.
#[derive(Debug, Clone)]
pub struct Limits {
    shared: Arc<Shared>,
}

impl Limits {
    /// Starts the task that exchanges loans and the task that maintains the seat.
    pub fn spawn(
        host: HostId,
        incarnation: Incarnation,
        settings: LimitSettings,
        channel: LimitsChannel,
        store: StoreClient,
        config: watch::Receiver<Arc<ConfigView>>,
    ) -> Self {
        let division = settings.division;
        let mut coordinator = Coordinator::new(host, incarnation, division, Duration::ZERO);
        coordinator.set_seat_rule(settings.seats);
        let shared = Shared::new(coordinator, Instant::now(), settings.order);
        shared.configure(&config.borrow());
        tokio::spawn(driver::run(shared.clone(), channel, config.clone()));
        tokio::spawn(seat_task::run(
            shared.clone(),
            store,
            settings.seats,
            config,
        ));
        Self { shared }
    }

    /// Waits until this host may admit statements of an organisation, which takes a moment after
    /// startup or when the contract is new. Returns after `READY_TIMEOUT` in any case; `admit` then
    /// refuses statements with the reason.
    pub async fn ready(&self, organisation: &str) {
        let limit = LimitId::Rate(organisation.to_owned());
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            {
                let state = self.shared.lock();
                let known = state.coordinator.total(&limit).is_some();
                if known && state.coordinator.is_connected(self.shared.now()) {
                    return;
                }
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Admits one statement, or refuses it before anything is sent. Waits up to `MAX_RATE_WAIT` for
    /// a token, which may first have to be lent by another host.
    pub async fn admit(&self, organisation: &str, deadline: Instant) -> Result<(), LimitError> {
        let limit = LimitId::Rate(organisation.to_owned());
        let (mut receiver, wait) = {
            let mut state = self.shared.lock();
            let now = self.shared.now();
            if state.stopping {
                return Err(LimitError::Stopping);
            }
            let Some(total) = state.coordinator.total(&limit) else {
                return Err(LimitError::NoContract(organisation.to_owned()));
            };
            if !state.coordinator.is_connected(now) {
                return Err(LimitError::Disconnected);
            }
            if let Some(share) = state.coordinator.share(&limit, now) {
                share.demand.on_arrival(now);
            }
            if !state.rates.contains_key(organisation) && state.coordinator.take(&limit, now) {
                return Ok(());
            }
            let wait = self
                .shared
                .time_at(deadline)
                .saturating_sub(now)
                .min(MAX_RATE_WAIT);
            let queue = state.rates.entry(organisation.to_owned()).or_default();
            // Even the full rate of the contract would not reach this statement in time.
            if queue.len() as f64 >= total.rate * wait.as_secs_f64() {
                return Err(self.rate_error(organisation));
            }
            (queue.push(), wait)
        };
        self.shared.wake.notify_one();
        if timeout(wait, &mut receiver).await.is_ok_and(|r| r.is_ok()) {
            return Ok(());
        }
        receiver.close();
        // The token may have arrived just as the wait timed out.
        if receiver.try_recv().is_ok() {
            return Ok(());
        }
        Err(self.rate_error(organisation))
    }

    /// Waits in the fair queue for a permit to use a connection to a member.
    pub async fn connection(
        &self,
        database: &str,
        member: &str,
        organisation: &str,
        deadline: Instant,
    ) -> Result<ConnectionPermit, LimitError> {
        let limit = LimitId::Connections(database.to_owned(), member.to_owned());
        let (ticket, receiver, wait) = {
            let mut state = self.shared.lock();
            let state = &mut *state;
            let now = self.shared.now();
            if state.stopping {
                return Err(LimitError::Stopping);
            }
            let Some(total) = state.coordinator.total(&limit) else {
                return Err(LimitError::NoMember(database.to_owned(), member.to_owned()));
            };
            if !state.coordinator.is_connected(now) {
                return Err(LimitError::Disconnected);
            }
            self.shared.update_member_queue(state, &limit, now);
            let weight = state.weights.get(organisation).copied().unwrap_or(1);
            let Some(queue) = state.members.get_mut(&limit) else {
                return Err(LimitError::NoMember(database.to_owned(), member.to_owned()));
            };
            let wait = self
                .shared
                .time_at(deadline)
                .saturating_sub(now)
                .min(MAX_CONNECTION_WAIT);
            let expected = total.rate as usize;
            match queue
                .queue
                .enqueue(organisation, weight, expected, now, now + wait)
            {
                EnqueueOutcome::Granted(ticket) => {
                    queue.held.insert(ticket, CancellationToken::new());
                    return Ok(self.permit(state, limit, ticket));
                }
                EnqueueOutcome::Refused(wait) => return Err(queue_error(database, member, wait)),
                EnqueueOutcome::Waiting(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    queue.waiting.insert(ticket, sender);
                    (ticket, receiver, wait)
                }
            }
        };
        self.shared.wake.notify_one();
        let guard = TicketGuard {
            limits: self,
            limit: &limit,
            ticket,
        };
        let granted = timeout(wait, receiver).await.is_ok_and(|r| r.is_ok());
        let state = self.shared.lock();
        let is_held = state
            .members
            .get(&limit)
            .is_some_and(|m| m.held.contains_key(&ticket));
        if granted || is_held {
            std::mem::forget(guard);
            return Ok(self.permit(&state, limit, ticket));
        }
        drop(state);
        drop(guard);
        Err(queue_error(database, member, wait))
    }

    /// Number of connections to a member that may be open on this host, busy or idle. It is reduced
    /// shortly before the share that covers it expires.
    pub fn allowance(&self, database: &str, member: &str) -> watch::Receiver<u32> {
        let limit = LimitId::Connections(database.to_owned(), member.to_owned());
        let mut state = self.shared.lock();
        if let Some(member) = state.members.get(&limit) {
            return member.allowance.subscribe();
        }
        let order = self.shared.order();
        let queue = state
            .members
            .entry(limit)
            .or_insert_with(|| MemberQueue::new(order));
        queue.allowance.subscribe()
    }

    /// Reports the number of open connections to a member. A pool calls this before it opens a
    /// connection, with the number that it would then have, and after it has closed one. Returns
    /// false if the number exceeds the allowance; the connection must then not be opened.
    /// Connections are lent to other hosts only after the smaller number has been reported.
    pub fn report_open(&self, database: &str, member: &str, open: u32) -> bool {
        let limit = LimitId::Connections(database.to_owned(), member.to_owned());
        let mut state = self.shared.lock();
        let state = &mut *state;
        let now = self.shared.now();
        self.shared.update_member_queue(state, &limit, now);
        let Some(queue) = state.members.get_mut(&limit) else {
            return false;
        };
        let accepted = open <= queue.open || state.coordinator.set_open(&limit, open, now);
        if accepted {
            queue.open = open;
        }
        self.shared.update_member_queue(state, &limit, now);
        accepted
    }

    /// Whether this host may accept new work: it has recently reached the store or a majority of
    /// its peers.
    pub fn is_connected(&self) -> bool {
        let now = self.shared.now();
        self.shared.lock().coordinator.is_connected(now)
    }

    /// Whether a majority of the hosts with a seat has granted leases to this host, and whether
    /// its floors (guaranteed shares) are in force.
    pub fn seat(&self) -> (bool, bool) {
        let now = self.shared.now();
        let state = self.shared.lock();
        let seat = state.coordinator.seat();
        (seat.has_majority_lease(now), seat.floor().is_some())
    }

    /// Processing time of loans, seats and queues since the start, not including admission.
    pub fn busy(&self) -> Duration {
        Duration::from_nanos(self.shared.busy_ns.load(Ordering::Relaxed))
    }

    /// Refuses all further statements.
    pub fn stop(&self) {
        self.shared.lock().stopping = true;
    }

    fn permit(&self, state: &State, limit: LimitId, ticket: u64) -> ConnectionPermit {
        let revoked = state
            .members
            .get(&limit)
            .and_then(|m| m.held.get(&ticket).cloned())
            .unwrap_or_default();
        ConnectionPermit {
            shared: self.shared.clone(),
            limit,
            ticket,
            revoked,
        }
    }

    fn rate_error(&self, organisation: &str) -> LimitError {
        LimitError::Rate {
            organisation: organisation.to_owned(),
            retry: RETRY_AFTER,
        }
    }
}

/// Removes the ticket from the queue if the future that waits for it is dropped.
struct TicketGuard<'a> {
    limits: &'a Limits,
    limit: &'a LimitId,
    ticket: u64,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        self.limits.shared.release(self.limit, self.ticket);
    }
}

fn queue_error(database: &str, member: &str, wait: Duration) -> LimitError {
    LimitError::Queue {
        database: database.to_owned(),
        member: member.to_owned(),
        wait,
    }
}
