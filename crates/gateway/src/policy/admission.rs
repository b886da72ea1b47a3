//! Queue for one member: priority first, then the caller that has waited least of its limit.

use std::collections::BTreeMap;
use std::time::Duration;

/// Waiting statements at one member. Beyond this a newcomer of low priority is refused at once,
/// since it could not be served within any caller's patience.
const QUEUE_LIMIT: usize = 256;
/// Weight of a new measurement in the average service time.
const SMOOTHING: f64 = 0.1;
/// Assumed service time until one was measured.
const FIRST_SERVICE: f64 = 0.010;

/// Number of a waiting statement.
pub type Ticket = u64;

/// Answer to a statement that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    Granted,
    Waiting(Ticket),
    /// The expected wait exceeds what the caller can wait.
    Refused(Duration),
}

/// Statements at one member.
#[derive(Debug)]
pub struct Admission {
    running: u32,
    capacity: u32,
    service: f64,
    waiting: BTreeMap<(u32, Ticket), Duration>,
    next: Ticket,
}

impl Admission {
    /// Runs at most `capacity` statements at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            running: 0,
            capacity,
            service: FIRST_SERVICE,
            waiting: BTreeMap::new(),
            next: 0,
        }
    }

    /// Asks for a slot before `until`. A transaction that has begun enters at priority 0, since
    /// it holds a connection while it waits.
    pub fn enter(&mut self, priority: u32, until: Duration, now: Duration) -> Entry {
        if self.running < self.capacity && self.waiting.is_empty() {
            self.running += 1;
            return Entry::Granted;
        }
        let wait = self.expected_wait(priority);
        if now + wait > until || self.waiting.len() >= QUEUE_LIMIT {
            return Entry::Refused(wait);
        }
        self.next += 1;
        self.waiting.insert((priority, self.next), until);
        Entry::Waiting(self.next)
    }

    /// Ends a statement that held a slot for `used`.
    pub fn leave(&mut self, used: Duration) {
        self.running = self.running.saturating_sub(1);
        self.service += SMOOTHING * (used.as_secs_f64() - self.service);
    }

    /// Withdraws a waiting statement.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|(_, t), _| *t != ticket);
    }

    /// Grants the next slot, if one is free. Call until it returns none.
    pub fn next(&mut self, now: Duration) -> Option<Ticket> {
        while self.running < self.capacity {
            let ((_, ticket), until) = self.waiting.pop_first()?;
            // An expired caller has been answered already.
            if until > now {
                self.running += 1;
                return Some(ticket);
            }
        }
        None
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Wait that a newcomer of this priority has to expect.
    pub fn expected_wait(&self, priority: u32) -> Duration {
        let ahead = self.waiting.keys().filter(|(p, _)| *p <= priority).count();
        let turns = (ahead + 1) as f64 / f64::from(self.capacity.max(1));
        Duration::from_secs_f64(turns * self.service)
    }
}
