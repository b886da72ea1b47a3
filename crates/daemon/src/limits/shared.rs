//! State shared by admission, the driver task and the seat task.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::kind;
use magnoliahatch_core::amount::Amount;
use magnoliahatch_core::coordinator::Coordinator;
use magnoliahatch_core::fair_queue::QueueOrder;
use magnoliahatch_core::fair_queue::Ticket;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::limit::LimitId;
use magnoliahatch_core::share::Unit;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::limits::member_queue::MemberQueue;
use crate::limits::rate_queue::RateQueue;
use crate::limits::table;

/// Interval at which members without open or requested connections are updated.
const IDLE_MEMBERS_INTERVAL: Duration = Duration::from_millis(250);

/// The coordinator and the queues of this host. The lock is held for microseconds only.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) coordinator: Coordinator,
    pub(crate) rates: BTreeMap<OrganisationId, RateQueue>,
    pub(crate) members: BTreeMap<LimitId, MemberQueue>,
    pub(crate) weights: BTreeMap<OrganisationId, u32>,
    pub(crate) stopping: bool,
    /// Last logged value of `Coordinator::is_connected`.
    pub(crate) logged_connected: bool,
    /// Last logged number of seats by which the floor of this host is computed.
    pub(crate) logged_floor: Option<usize>,
    /// When all members, including idle ones, were last updated.
    all_updated_at: Duration,
}

/// Locked state together with what can be used without the lock.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    start: Instant,
    order: QueueOrder,
    /// Wakes the driver task when a statement is queued or the configuration has changed.
    pub(crate) wake: Notify,
    /// Processing time of the driver task since the start, in nanoseconds.
    pub(crate) busy_ns: AtomicU64,
}

impl Shared {
    pub(crate) fn new(coordinator: Coordinator, start: Instant, order: QueueOrder) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                coordinator,
                rates: BTreeMap::new(),
                members: BTreeMap::new(),
                weights: BTreeMap::new(),
                stopping: false,
                logged_connected: false,
                logged_floor: None,
                all_updated_at: Duration::ZERO,
            }),
            start,
            order,
            wake: Notify::new(),
            busy_ns: AtomicU64::new(0),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn order(&self) -> QueueOrder {
        self.order
    }

    /// Time since the start, on the monotonic clock.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts an instant to the time since the start.
    pub(crate) fn time_at(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.start)
    }

    /// Applies the limits, weights, peers and seat table of a configuration.
    pub(crate) fn configure(&self, view: &ConfigView) {
        let mut state = self.lock();
        let now = self.now();
        let rates = view.contracts.iter().map(|(organisation, contract)| {
            let amount = Amount::new(contract.rate, contract.burst);
            (LimitId::Rate(organisation.clone()), amount)
        });
        let members = view.databases.iter().flat_map(|(name, database)| {
            database.members.iter().map(|member| {
                let id = LimitId::Connections(name.clone(), member.name.clone());
                (id, Amount::connections(database.connections))
            })
        });
        let limits: BTreeMap<LimitId, Amount> = rates
            .chain(members)
            .filter(|(_, amount)| amount.is_valid())
            .collect();
        state.coordinator.set_limits(&limits, now);
        state.coordinator.set_peers(view.hosts.keys().cloned(), now);
        let version = view.version(kind::SEATS, kind::SEATS_NAME);
        if version > 0 {
            let seats = table::decode(&view.seats, version);
            state.coordinator.on_seat_table(&seats, now);
        }
        state.weights = view
            .contracts
            .iter()
            .map(|(organisation, contract)| (organisation.clone(), contract.weight))
            .collect();
        for id in limits.keys().filter(|id| id.unit() == Unit::Connections) {
            state
                .members
                .entry(id.clone())
                .or_insert_with(|| MemberQueue::new(self.order));
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Updates all queues to the time `now`. Members without open or requested connections are
    /// updated only every `IDLE_MEMBERS_INTERVAL`.
    pub(crate) fn update_queues(&self, state: &mut State, now: Duration) {
        let organisations: Vec<OrganisationId> = state.rates.keys().cloned().collect();
        for organisation in organisations {
            self.update_rate_queue(state, &organisation, now);
        }
        let include_idle = now >= state.all_updated_at + IDLE_MEMBERS_INTERVAL;
        if include_idle {
            state.all_updated_at = now;
        }
        let members: Vec<LimitId> = state
            .members
            .iter()
            .filter(|(_, member)| include_idle || member.open > 0 || member.connection_demand() > 0)
            .map(|(limit, _)| limit.clone())
            .collect();
        for limit in members {
            self.update_member_queue(state, &limit, now);
        }
    }

    /// Admits the waiting statements of one organisation for which there are tokens.
    pub(crate) fn update_rate_queue(&self, state: &mut State, organisation: &str, now: Duration) {
        let Some(queue) = state.rates.get_mut(organisation) else {
            return;
        };
        let limit = LimitId::Rate(organisation.to_owned());
        let coordinator = &mut state.coordinator;
        queue.admit_waiting(|| coordinator.take(&limit, now));
        let waiting = u32::try_from(queue.len()).unwrap_or(u32::MAX);
        if let Some(share) = coordinator.share(&limit, now) {
            share.demand.set_waiting(waiting);
        }
        if waiting == 0 {
            state.rates.remove(organisation);
        }
    }

    /// Updates the queue of one member to its current share: expires and grants tickets, revokes
    /// excess permits and publishes the allowance.
    pub(crate) fn update_member_queue(&self, state: &mut State, limit: &LimitId, now: Duration) {
        let Some(member) = state.members.get_mut(limit) else {
            return;
        };
        for ticket in member.queue.expire(now) {
            member.waiting.remove(&ticket);
        }
        let demand = member.connection_demand();
        if let Some(share) = state.coordinator.share(limit, now) {
            share.set_connection_demand(demand, now);
            // A connection in use counts as open even if the pool has not reported it yet.
            let open = member.open.max(member.held.len() as u32);
            share.set_open(Some(open));
        }
        let allowance = state.coordinator.allowance(limit, now);
        let capacity = usize::try_from(allowance).unwrap_or(usize::MAX);
        member.queue.set_capacity(capacity);
        while let Some(ticket) = member.queue.grant_next(now) {
            let delivered = member.waiting.remove(&ticket).map(|w| w.send(()));
            if delivered == Some(Ok(())) {
                member.held.insert(ticket, CancellationToken::new());
            } else {
                member.queue.release(ticket, now);
            }
        }
        member.revoke(state.coordinator.hard_limit(limit, now));
        member.allowance.send_if_modified(|value| {
            let changed = *value != allowance;
            *value = allowance;
            changed
        });
    }

    /// Removes a ticket from the queue of a member, or returns its permit.
    pub(crate) fn release(&self, limit: &LimitId, ticket: Ticket) {
        let mut state = self.lock();
        let now = self.now();
        if let Some(member) = state.members.get_mut(limit) {
            member.queue.release(ticket, now);
            member.held.remove(&ticket);
            member.waiting.remove(&ticket);
        }
        self.update_member_queue(&mut state, limit, now);
    }
}
