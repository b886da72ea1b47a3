//! Weighted fair queueing between organisations for the connections to one member.
//!
//! The cost of a request is the time for which it holds a connection. That time, divided by the
//! organisation's weight, is added to the organisation's virtual time, and the waiting organisation
//! with the smallest virtual time is served first. A request whose estimated wait goes beyond its
//! limit is refused immediately.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;

use crate::ids::OrganisationId;

/// Weight of a new sample in the moving average of the hold time.
const HOLD_SMOOTHING: f64 = 0.1;
/// Hold time in seconds that is assumed before the first sample.
const INITIAL_HOLD: f64 = 0.005;

/// Identifier of a request in the queue.
pub type Ticket = u64;

/// How the next request is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// Least virtual time first.
    #[default]
    Fair,
    /// First come, first served; a baseline for comparison with the fair queue.
    Arrival,
}

/// Result of adding a request to the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request may use a connection immediately.
    Granted(Ticket),
    /// The request is queued; `next` returns this ticket when a connection is granted to it.
    Waiting(Ticket),
    /// The estimated wait, given here, ends after the request's limit.
    Refused(Duration),
}

/// Requests of one organisation.
#[derive(Debug, Default)]
struct Flow {
    weight: f64,
    /// Connection time used, divided by the weight.
    virtual_time: f64,
    in_use: usize,
    waiting: VecDeque<(Ticket, Duration)>,
}

/// A request that has been granted a connection.
#[derive(Debug)]
struct ActiveRequest {
    organisation: OrganisationId,
    granted_at: Duration,
    /// Virtual time charged in advance when the connection was granted.
    charged: f64,
}

/// Queue of requests for the connections to one member.
#[derive(Debug)]
pub struct FairQueue {
    order: QueueOrder,
    flows: BTreeMap<OrganisationId, Flow>,
    active: BTreeMap<Ticket, ActiveRequest>,
    capacity: usize,
    /// Virtual time of the last request served. An organisation that becomes active again starts
    /// here, so that it gains no credit for its idle time.
    virtual_time: f64,
    average_hold: f64,
    next_ticket: Ticket,
}

impl FairQueue {
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            flows: BTreeMap::new(),
            active: BTreeMap::new(),
            capacity: 0,
            virtual_time: 0.0,
            average_hold: INITIAL_HOLD,
            next_ticket: 0,
        }
    }

    /// Sets the number of requests that may hold a connection at the same time.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Requests a connection before `deadline`. The wait is estimated for `expected_capacity`,
    /// which may exceed the current capacity while a loan is being requested.
    pub fn enqueue(
        &mut self,
        organisation: &str,
        weight: u32,
        expected_capacity: usize,
        now: Duration,
        deadline: Duration,
    ) -> EnqueueOutcome {
        let wait = self.expected_wait(organisation, weight, expected_capacity);
        if self.has_capacity() && self.waiting() == 0 {
            let ticket = self.new_ticket(organisation, weight);
            self.grant(ticket, organisation.to_owned(), now);
            return EnqueueOutcome::Granted(ticket);
        }
        if now + wait > deadline {
            return EnqueueOutcome::Refused(wait);
        }
        let ticket = self.new_ticket(organisation, weight);
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.waiting.push_back((ticket, deadline));
        }
        EnqueueOutcome::Waiting(ticket)
    }

    /// Grants a free connection to the next request. Call this until it returns `None`.
    pub fn grant_next(&mut self, now: Duration) -> Option<Ticket> {
        if !self.has_capacity() {
            return None;
        }
        let waiting = self.flows.iter().filter(|(_, f)| !f.waiting.is_empty());
        let chosen = match self.order {
            QueueOrder::Fair => {
                waiting.min_by(|a, b| a.1.virtual_time.total_cmp(&b.1.virtual_time))
            }
            QueueOrder::Arrival => waiting.min_by_key(|(_, f)| f.waiting.front().map(|w| w.0)),
        };
        let organisation = chosen?.0.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let (ticket, _) = flow.waiting.pop_front()?;
        self.grant(ticket, organisation, now);
        Some(ticket)
    }

    /// Removes a request, whether it is waiting or holds a connection.
    pub fn release(&mut self, ticket: Ticket, now: Duration) {
        if let Some(request) = self.active.remove(&ticket) {
            let used = now.saturating_sub(request.granted_at).as_secs_f64();
            self.average_hold += HOLD_SMOOTHING * (used - self.average_hold);
            if let Some(flow) = self.flows.get_mut(&request.organisation) {
                flow.in_use -= 1;
                flow.virtual_time += used / flow.weight - request.charged;
            }
        } else {
            for flow in self.flows.values_mut() {
                flow.waiting.retain(|w| w.0 != ticket);
            }
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, f| f.in_use > 0 || !f.waiting.is_empty() || f.virtual_time > virtual_time);
    }

    /// Removes and returns the waiting requests whose time limit has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.waiting.retain(|(ticket, deadline)| {
                let expired_now = *deadline <= now;
                if expired_now {
                    expired.push(*ticket);
                }
                !expired_now
            });
        }
        expired
    }

    pub fn waiting(&self) -> usize {
        self.flows.values().map(|f| f.waiting.len()).sum()
    }

    pub fn in_use(&self) -> usize {
        self.active.len()
    }

    fn has_capacity(&self) -> bool {
        self.active.len() < self.capacity
    }

    fn new_ticket(&mut self, organisation: &str, weight: u32) -> Ticket {
        self.next_ticket += 1;
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(organisation.to_owned()).or_default();
        flow.weight = f64::from(weight.max(1));
        if flow.in_use == 0 && flow.waiting.is_empty() {
            flow.virtual_time = flow.virtual_time.max(virtual_time);
        }
        self.next_ticket
    }

    /// Grants a connection. The average hold time is charged in advance, because otherwise all
    /// simultaneous requests of an organisation would be ordered by the same virtual time; `leave`
    /// replaces the charge by the time actually used.
    fn grant(&mut self, ticket: Ticket, organisation: OrganisationId, now: Duration) {
        let mut charged = 0.0;
        if let Some(flow) = self.flows.get_mut(&organisation) {
            self.virtual_time = self.virtual_time.max(flow.virtual_time);
            charged = self.average_hold / flow.weight;
            flow.virtual_time += charged;
            flow.in_use += 1;
        }
        self.active.insert(
            ticket,
            ActiveRequest {
                organisation,
                granted_at: now,
                charged,
            },
        );
    }

    /// Estimates the wait of a new request. The organisation's earlier requests are served before
    /// it, and meanwhile the other organisations are served in proportion to their weights.
    fn expected_wait(&self, organisation: &str, weight: u32, expected_capacity: usize) -> Duration {
        let capacity = expected_capacity.max(self.capacity).max(1) as f64;
        let ahead = match self.order {
            QueueOrder::Arrival => self.waiting() as f64,
            QueueOrder::Fair => {
                let own = self.flows.get(organisation).map_or(0, |f| f.waiting.len());
                let turns = (own as f64 + 1.0) / f64::from(weight.max(1));
                self.flows
                    .iter()
                    .filter(|(name, _)| *name != organisation)
                    .map(|(_, f)| (f.waiting.len() as f64).min(turns * f.weight))
                    .sum::<f64>()
                    + own as f64
            }
        };
        Duration::from_secs_f64(self.average_hold * (ahead + 1.0) / capacity)
    }
}
