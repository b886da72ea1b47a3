//! Admission queue of one member: ordered by priority, then by arrival.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::statement_kind::StatementKind;
use crate::policy::admission_request::Request;

/// Maximum number of waiting statements at one member. Beyond this a new statement is refused at
/// once, since it could not be served within any client's time limit.
const QUEUE_LIMIT: usize = 256;
/// Weight of a new measurement in the moving average of the service time.
const SMOOTHING: f64 = 0.1;
/// Service time in seconds that is assumed until one was measured.
const INITIAL_SERVICE_TIME: f64 = 0.010;

/// Identifies a waiting statement; later statements have higher numbers.
pub type Ticket = u64;

/// Response to a statement that requests a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    Granted,
    Waiting(Ticket),
    /// The expected wait, which exceeds the statement's deadline; or the queue is full.
    Refused(Duration),
}

/// Running and waiting statements of one member.
#[derive(Debug)]
pub struct AdmissionQueue {
    running: u32,
    capacity: u32,
    service_time: f64,
    waiting: BTreeMap<(u32, Ticket), Duration>,
    last_ticket: Ticket,
}

impl AdmissionQueue {
    /// Creates a queue that admits at most `capacity` statements at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            running: 0,
            capacity,
            service_time: INITIAL_SERVICE_TIME,
            waiting: BTreeMap::new(),
            last_ticket: 0,
        }
    }

    /// Sets how many statements may run at once. If it grows, call `grant_next` afterwards.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Requests a slot. A statement of an open transaction goes first, since the transaction holds
    /// a connection while it waits.
    pub fn request(&mut self, request: Request, now: Duration) -> AdmissionDecision {
        let priority = request.class();
        let until = request.deadline;
        if self.running < self.capacity && self.waiting.is_empty() {
            self.running += 1;
            return AdmissionDecision::Granted;
        }
        let wait = self.expected_wait(priority);
        if now + wait > until || self.waiting.len() >= QUEUE_LIMIT {
            return AdmissionDecision::Refused(wait);
        }
        self.last_ticket += 1;
        self.waiting.insert((priority, self.last_ticket), until);
        AdmissionDecision::Waiting(self.last_ticket)
    }

    /// Releases a slot that a statement of this kind held for `used`.
    pub fn release(&mut self, _kind: StatementKind, used: Duration) {
        self.running = self.running.saturating_sub(1);
        self.service_time += SMOOTHING * (used.as_secs_f64() - self.service_time);
    }

    /// Removes a waiting statement from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|(_, t), _| *t != ticket);
    }

    /// Grants a free slot to the next waiting statement. Call until it returns `None`.
    pub fn grant_next(&mut self, now: Duration) -> Option<Ticket> {
        while self.running < self.capacity {
            let ((_, ticket), until) = self.waiting.pop_first()?;
            // A statement past its deadline has already been answered with an error.
            if until > now {
                self.running += 1;
                return Some(ticket);
            }
        }
        None
    }

    /// Removes and returns the waiting statements whose deadline can no longer be met.
    pub fn expired(&mut self, now: Duration) -> Vec<Ticket> {
        let past = |until: &Duration| *until <= now;
        let expired = self.waiting.extract_if(.., |_, until| past(until));
        expired.map(|((_, ticket), _)| ticket).collect()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Expected wait of a new statement of this priority.
    pub fn expected_wait(&self, priority: u32) -> Duration {
        let ahead = self.waiting.keys().filter(|(p, _)| *p <= priority).count();
        let rounds = (ahead + 1) as f64 / f64::from(self.capacity.max(1));
        Duration::from_secs_f64(rounds * self.service_time)
    }
}
