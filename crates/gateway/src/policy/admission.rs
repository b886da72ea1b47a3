//! Admission queue of one member. The order of waiting statements is that of `FairOrder`; a
//! statement that would end after its deadline is refused.

use std::time::Duration;

use crate::model::statement_kind::StatementKind;
use crate::policy::admission_decision::AdmissionDecision;
use crate::policy::admission_decision::Ticket;
use crate::policy::admission_request::Request;
use crate::policy::fair_order::FairOrder;
use crate::policy::kind_counts::KindCounts;
use crate::policy::refusal::Refusal;
use crate::policy::refusal_check::RefusalCheck;
use crate::policy::service_times::ServiceTimes;
use crate::policy::work_ahead::WorkAhead;

/// Maximum number of waiting statements at one member. Beyond this statements are refused at once,
/// since they could not be served within any client's time limit.
const QUEUE_LIMIT: usize = 256;
/// Part of a running statement's service time that is left on average.
const RUNNING_LEFT: f64 = 0.5;

/// Running and waiting statements of one member.
#[derive(Debug)]
pub struct AdmissionQueue {
    running: KindCounts,
    capacity: u32,
    times: ServiceTimes,
    order: FairOrder,
    last_ticket: Ticket,
    /// Waiting statements that were removed and are not yet returned by `expired`.
    lost: Vec<Ticket>,
    refusals: RefusalCheck,
    /// Latest time that was passed in.
    latest: Duration,
}

impl AdmissionQueue {
    /// Creates a queue that admits at most `capacity` statements at once.
    pub fn new(capacity: u32) -> Self {
        Self {
            running: KindCounts::default(),
            capacity: capacity.max(1),
            times: ServiceTimes::default(),
            order: FairOrder::default(),
            last_ticket: 0,
            lost: Vec::new(),
            refusals: RefusalCheck::default(),
            latest: Duration::ZERO,
        }
    }

    /// Sets how many statements may run at once. If it grows, call `grant_next` afterwards.
    pub fn set_capacity(&mut self, capacity: u32) {
        self.capacity = capacity.max(1);
    }

    /// Requests a slot. After `Waiting`, call `expired`, since another statement may have given its
    /// place to this one.
    pub fn request(&mut self, request: Request, now: Duration) -> AdmissionDecision {
        self.latest = now;
        let has_slot = self.running.total() < self.capacity;
        if has_slot && self.order.is_empty() {
            self.running.add(request.kind);
            return AdmissionDecision::Granted;
        }
        self.order.promote(now);
        let (expected, end) = self.estimate(&request, now);
        let service = self.times.get(request.kind).lower_bound(now);
        let may_age = self.order.may_age(&request, service, now);
        if !has_slot && !may_age && now + end >= request.deadline {
            let latest_start = self.latest_start(request.kind, request.deadline);
            self.refusals.on_refused(latest_start);
            return AdmissionDecision::Refused(Refusal::ExpectedWait(expected));
        }
        if self.order.len() >= QUEUE_LIMIT {
            let Some(displaced) = self.order.displaced_by(&request) else {
                return AdmissionDecision::Refused(Refusal::Full);
            };
            self.order.remove(displaced);
            self.lost.push(displaced);
        }
        self.last_ticket += 1;
        self.order.insert(self.last_ticket, request, now, expected);
        AdmissionDecision::Waiting(self.last_ticket)
    }

    /// Releases a slot that a statement of this kind held for `used`.
    pub fn release(&mut self, kind: StatementKind, used: Duration) {
        self.running.remove(kind);
        self.times.record(kind, used, self.latest);
    }

    /// Releases a slot whose use says nothing about the member's service time.
    pub fn release_unused(&mut self, kind: StatementKind) {
        self.running.remove(kind);
    }

    /// Removes a waiting statement from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.order.remove(ticket);
        self.lost.retain(|lost| *lost != ticket);
    }

    /// Grants a free slot to the next waiting statement. Call until it returns `None`.
    pub fn grant_next(&mut self, now: Duration) -> Option<Ticket> {
        self.latest = now;
        self.remove_lost(now);
        self.order.promote(now);
        self.order.demote(&self.times, now);
        let free = self.capacity.saturating_sub(self.running.total());
        if free == 0 {
            return None;
        }
        let Some((ticket, statement)) = self.order.pop(None, &self.times, now) else {
            self.refusals.on_idle(free, now);
            return None;
        };
        self.running.add(statement.request.kind);
        Some(ticket)
    }

    /// Returns the statements that were removed from the queue: those whose deadline can no longer
    /// be met, and those that gave their place to another statement.
    pub fn expired(&mut self, now: Duration) -> Vec<Ticket> {
        self.latest = now;
        self.remove_lost(now);
        std::mem::take(&mut self.lost)
    }

    /// When a statement must have a slot at the latest to be answered before its deadline. It moves
    /// as the estimate of the service time changes.
    pub fn latest_start(&self, kind: StatementKind, deadline: Duration) -> Duration {
        let service = self.times.get(kind).lower_bound(self.latest);
        deadline.saturating_sub(service)
    }

    /// Wait that was expected for a waiting statement when it arrived.
    pub fn expected_wait(&self, ticket: Ticket) -> Option<Duration> {
        self.order.get(ticket).map(|s| s.expected)
    }

    /// Number of statements refused because of their expected wait that could have run, since the
    /// last call.
    pub fn take_wrong_refusals(&mut self) -> u64 {
        self.refusals.take()
    }

    pub fn waiting(&self) -> usize {
        self.order.len()
    }

    /// The expected wait of a new statement, and the time after which it has its answer at the
    /// earliest.
    fn estimate(&self, request: &Request, now: Duration) -> (Duration, Duration) {
        let mut ahead = WorkAhead::new(&self.times, now);
        self.order.add_work_before(request, &mut ahead);
        let running = self.running.total();
        // Ends that are awaited before the next grant: one, or more after the capacity shrank.
        let ends = RUNNING_LEFT + f64::from(running.saturating_sub(self.capacity));
        ahead.add(&self.running, ends / f64::from(running.max(1)));
        let parallel = f64::from(running.max(self.capacity));
        let expected = ahead.expected_wait(parallel);
        (expected, ahead.earliest_end(request.kind, parallel))
    }

    fn remove_lost(&mut self, now: Duration) {
        let lost = self.order.remove_lost(&self.times, now);
        self.lost.extend(lost);
    }
}
