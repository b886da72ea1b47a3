//! Weighted fair queueing between organisations for the connections to one member.
//!
//! Cost is connection time: an organisation that holds connections for long advances its virtual
//! time by that time divided by its weight, and the waiting organisation with the least virtual
//! time is served first. A request is refused as soon as its wait is expected to exceed its bound.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;

use crate::ids::OrganisationId;

/// Weight of a new measurement in the average holding time.
const SMOOTHING: f64 = 0.1;
/// Assumed holding time until one was measured.
const FIRST_HOLD: f64 = 0.005;

/// Identifies a request in the queue.
pub type Ticket = u64;

/// How the next request is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Least virtual time first.
    #[default]
    Fair,
    /// Arrival order, as the baseline without a fair queue.
    Arrival,
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entered {
    /// The connection may be used at once.
    Granted(Ticket),
    /// `next` will name the ticket when its turn has come.
    Waiting(Ticket),
    /// The expected wait exceeds the bound.
    Refused(Duration),
}

#[derive(Debug, Default)]
struct Flow {
    weight: f64,
    /// Connection time used, divided by weight.
    time: f64,
    held: usize,
    waiting: VecDeque<(Ticket, Duration)>,
}

#[derive(Debug)]
struct Held {
    organisation: OrganisationId,
    since: Duration,
    charged: f64,
}

/// Queue for one member's connections.
#[derive(Debug)]
pub struct FairQueue {
    order: Order,
    flows: BTreeMap<OrganisationId, Flow>,
    held: BTreeMap<Ticket, Held>,
    capacity: usize,
    /// Virtual time of the last request served; an organisation that was idle starts from here,
    /// so that idling saves up no credit.
    time: f64,
    hold: f64,
    next_ticket: Ticket,
}

impl FairQueue {
    pub fn new(order: Order) -> Self {
        Self {
            order,
            flows: BTreeMap::new(),
            held: BTreeMap::new(),
            capacity: 0,
            time: 0.0,
            hold: FIRST_HOLD,
            next_ticket: 0,
        }
    }

    /// Sets how many requests may hold a connection at once.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Asks for a connection, to be had before `until`. `expected` is the capacity to reckon
    /// with, which may be above the present one when a loan is on its way.
    pub fn enter(
        &mut self,
        organisation: &str,
        weight: u32,
        expected: usize,
        now: Duration,
        until: Duration,
    ) -> Entered {
        let wait = self.expected_wait(organisation, weight, expected);
        if self.free() && self.waiting() == 0 {
            let ticket = self.ticket(organisation, weight);
            self.grant(ticket, organisation.to_owned(), now);
            return Entered::Granted(ticket);
        }
        if now + wait > until {
            return Entered::Refused(wait);
        }
        let ticket = self.ticket(organisation, weight);
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.waiting.push_back((ticket, until));
        }
        Entered::Waiting(ticket)
    }

    /// Serves the next request if a connection is free. Call until it returns none.
    pub fn next(&mut self, now: Duration) -> Option<Ticket> {
        if !self.free() {
            return None;
        }
        let waiting = self.flows.iter().filter(|(_, f)| !f.waiting.is_empty());
        let chosen = match self.order {
            Order::Fair => waiting.min_by(|a, b| a.1.time.total_cmp(&b.1.time)),
            Order::Arrival => waiting.min_by_key(|(_, f)| f.waiting.front().map(|w| w.0)),
        };
        let organisation = chosen?.0.clone();
        let flow = self.flows.get_mut(&organisation)?;
        let (ticket, _) = flow.waiting.pop_front()?;
        self.grant(ticket, organisation, now);
        Some(ticket)
    }

    /// Gives up a request, whether it waits or holds a connection.
    pub fn leave(&mut self, ticket: Ticket, now: Duration) {
        if let Some(held) = self.held.remove(&ticket) {
            let used = now.saturating_sub(held.since).as_secs_f64();
            self.hold += SMOOTHING * (used - self.hold);
            if let Some(flow) = self.flows.get_mut(&held.organisation) {
                flow.held -= 1;
                flow.time += used / flow.weight - held.charged;
            }
        } else {
            for flow in self.flows.values_mut() {
                flow.waiting.retain(|w| w.0 != ticket);
            }
        }
        let time = self.time;
        self.flows
            .retain(|_, f| f.held > 0 || !f.waiting.is_empty() || f.time > time);
    }

    /// Removes and returns the requests whose bound has passed.
    pub fn expire(&mut self, now: Duration) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            flow.waiting.retain(|(ticket, until)| {
                let over = *until <= now;
                if over {
                    expired.push(*ticket);
                }
                !over
            });
        }
        expired
    }

    pub fn waiting(&self) -> usize {
        self.flows.values().map(|f| f.waiting.len()).sum()
    }

    pub fn in_use(&self) -> usize {
        self.held.len()
    }

    fn free(&self) -> bool {
        self.held.len() < self.capacity
    }

    fn ticket(&mut self, organisation: &str, weight: u32) -> Ticket {
        self.next_ticket += 1;
        let time = self.time;
        let flow = self.flows.entry(organisation.to_owned()).or_default();
        flow.weight = f64::from(weight.max(1));
        if flow.held == 0 && flow.waiting.is_empty() {
            flow.time = flow.time.max(time);
        }
        self.next_ticket
    }

    /// The average holding time is charged in advance, so that one organisation's simultaneous
    /// requests do not all see the same virtual time; `leave` corrects it.
    fn grant(&mut self, ticket: Ticket, organisation: OrganisationId, now: Duration) {
        let mut charged = 0.0;
        if let Some(flow) = self.flows.get_mut(&organisation) {
            self.time = self.time.max(flow.time);
            charged = self.hold / flow.weight;
            flow.time += charged;
            flow.held += 1;
        }
        self.held.insert(
            ticket,
            Held {
                organisation,
                since: now,
                charged,
            },
        );
    }

    /// Wait of a new request of this organisation: it is served after its own earlier requests,
    /// and the others get their weighted part of the connections meanwhile.
    fn expected_wait(&self, organisation: &str, weight: u32, expected: usize) -> Duration {
        let capacity = expected.max(self.capacity).max(1) as f64;
        let ahead = match self.order {
            Order::Arrival => self.waiting() as f64,
            Order::Fair => {
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
        Duration::from_secs_f64(self.hold * (ahead + 1.0) / capacity)
    }
}
