//! The callers that wait for a connection to one member.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::clock;
use crate::policy::admission_decision::Ticket;
use crate::policy::admission_request::Request;
use crate::policy::connection_waiters::ConnectionWaiters;

/// A caller that waits checks the pool again after this time at the latest.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Callers that wait for a connection.
#[derive(Default)]
pub struct ConnectionQueue {
    order: RefCell<ConnectionWaiters>,
    senders: RefCell<BTreeMap<Ticket, oneshot::Sender<()>>>,
    last_ticket: Cell<Ticket>,
}

impl ConnectionQueue {
    /// Number of a new caller; later ones are higher.
    pub fn ticket(&self) -> Ticket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        self.last_ticket.get()
    }

    /// Waits until a connection may have become free or may be opened. Returns after
    /// `RECHECK_INTERVAL` at the latest, since capacity also becomes available without a wake-up:
    /// when the delay after a refusal ends, or when another host closes connections. Returns
    /// `false` if a wake-up arrived just as the wait timed out; the next caller must then be woken.
    pub async fn wait(&self, ticket: Ticket, request: &Request, arrived: Duration) -> bool {
        let left = request.deadline.saturating_sub(clock::now());
        let (sender, receiver) = oneshot::channel();
        self.order
            .borrow_mut()
            .insert(ticket, request.clone(), arrived);
        self.senders.borrow_mut().insert(ticket, sender);
        let woken = tokio::time::timeout(left.min(RECHECK_INTERVAL), receiver).await;
        if matches!(woken, Ok(Ok(()))) {
            return true;
        }
        self.order.borrow_mut().remove(ticket);
        self.senders.borrow_mut().remove(&ticket).is_some()
    }

    /// Wakes one waiting caller. `newest` is the organisation of the newest idle connection.
    pub fn wake_next(&self, newest: Option<&str>) {
        let next = self.order.borrow_mut().next(newest, clock::now());
        let sender = next.and_then(|ticket| self.senders.borrow_mut().remove(&ticket));
        if let Some(sender) = sender {
            // If this caller is gone, the others check the pool again after `RECHECK_INTERVAL`.
            let _ = sender.send(());
        }
    }
}
