//! The statement slots of one member and the statements that wait for them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;
use tokio::sync::oneshot;

use crate::clock;
use crate::member::slot::Slot;
use crate::metrics::Metrics;
use crate::model::error_code::ErrorCode;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::failure;
use crate::model::statement_kind::StatementKind;
use crate::policy::admission::AdmissionQueue;
use crate::policy::admission_decision::AdmissionDecision;
use crate::policy::admission_decision::Ticket;
use crate::policy::admission_request::Request;
use crate::policy::refusal::Refusal;

/// A statement that waits for a slot. If its sender is dropped, it is refused.
type Waiter = (StatementKind, oneshot::Sender<Slot>);

/// The slots of one member.
pub struct SlotQueue {
    member: MemberId,
    admission: RefCell<AdmissionQueue>,
    waiters: RefCell<BTreeMap<Ticket, Waiter>>,
}

impl SlotQueue {
    pub fn new(member: MemberId, capacity: u32) -> Rc<Self> {
        Rc::new(Self {
            member,
            admission: RefCell::new(AdmissionQueue::new(capacity)),
            waiters: RefCell::default(),
        })
    }

    /// Takes a slot for one statement, waiting until its deadline at the latest.
    pub async fn acquire(
        self: &Rc<Self>,
        request: Request,
        metrics: &Metrics,
    ) -> Result<Slot, Failure> {
        let class = request.class();
        let organisation = request.organisation.clone();
        let result = self.wait(request, metrics).await;
        let wrong = self.admission.borrow_mut().take_wrong_refusals();
        if wrong > 0 {
            let member = &self.member;
            tracing::info!(
                event = 713,
                member,
                wrong,
                "statements refused early could have run"
            );
            metrics.count_wrong_refusals(wrong);
        }
        result.map_err(|refusal| {
            self.log(refusal, &organisation, class);
            metrics.count_refusal(refusal, class);
            failure(ErrorCode::Busy, Cause::Queue)
        })
    }

    /// Number of statements that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.admission.borrow().waiting()
    }

    /// Sets how many statements may run at once.
    pub fn set_capacity(self: &Rc<Self>, capacity: u32) {
        self.admission.borrow_mut().set_capacity(capacity);
        self.admit_waiting();
    }

    /// Frees the slot of a statement of this kind. `used` is its service time if the member ran it.
    pub(super) fn on_free(self: &Rc<Self>, kind: StatementKind, used: Option<Duration>) {
        let mut admission = self.admission.borrow_mut();
        match used {
            Some(used) => admission.release(kind, used),
            None => admission.release_unused(kind),
        }
        drop(admission);
        self.admit_waiting();
    }

    async fn wait(self: &Rc<Self>, request: Request, metrics: &Metrics) -> Result<Slot, Refusal> {
        let now = clock::now();
        let (kind, deadline, class) = (request.kind, request.deadline, request.class());
        let decision = self.admission.borrow_mut().request(request, now);
        let ticket = match decision {
            AdmissionDecision::Granted => return Ok(Slot::new(self.clone(), kind)),
            AdmissionDecision::Refused(refusal) => return Err(refusal),
            AdmissionDecision::Waiting(ticket) => ticket,
        };
        let expected = self.admission.borrow().expected_wait(ticket);
        let (sender, mut receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, (kind, sender));
        // Another statement may have given its place to this one.
        self.admit_waiting();
        loop {
            let latest_start = self.admission.borrow().latest_start(kind, deadline);
            let left = latest_start.saturating_sub(clock::now());
            match tokio::time::timeout(left, &mut receiver).await {
                Ok(Ok(slot)) => {
                    let waited = clock::now().saturating_sub(now);
                    metrics.record_wait(class, waited, expected.unwrap_or_default());
                    return Ok(slot);
                }
                Ok(Err(_)) if latest_start > clock::now() => return Err(Refusal::Displaced),
                Ok(Err(_)) => return Err(Refusal::Deadline),
                // Removes this statement, unless its latest start has moved meanwhile.
                Err(_) => self.admit_waiting(),
            }
        }
    }

    /// Gives free slots to waiting statements and refuses those that left the queue.
    fn admit_waiting(self: &Rc<Self>) {
        let now = clock::now();
        loop {
            let granted = self.admission.borrow_mut().grant_next(now);
            let Some(ticket) = granted else { break };
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            if let Some((kind, sender)) = waiter {
                // If the caller is gone, the slot is dropped, which frees it.
                let _ = sender.send(Slot::new(self.clone(), kind));
            }
        }
        let lost = self.admission.borrow_mut().expired(now);
        let mut waiters = self.waiters.borrow_mut();
        for ticket in lost {
            waiters.remove(&ticket);
        }
    }

    fn log(&self, refusal: Refusal, organisation: &str, class: u32) {
        let member = &self.member;
        let waiting = self.admission.borrow().waiting();
        match refusal {
            Refusal::ExpectedWait(expected) => {
                let expected = expected.as_millis() as u64;
                tracing::info!(
                    event = 710,
                    member,
                    organisation,
                    class,
                    waiting,
                    expected,
                    "statement refused: it would end after its deadline"
                );
            }
            Refusal::Full => tracing::warn!(
                event = 711,
                member,
                organisation,
                class,
                waiting,
                "statement refused: the queue is full"
            ),
            Refusal::Deadline | Refusal::Displaced => tracing::info!(
                event = 712,
                member,
                organisation,
                class,
                waiting,
                ?refusal,
                "waiting statement refused"
            ),
        }
    }
}
