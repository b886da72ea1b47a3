//! Order of the callers that wait for a connection to a member. It is that of statements that wait
//! for a slot, but an organisation may reuse its own connections a few times in a row.

use std::time::Duration;

use crate::policy::admission_decision::Ticket;
use crate::policy::admission_request::Request;
use crate::policy::fair_order::FairOrder;
use crate::policy::service_times::ServiceTimes;

/// Callers that wait for a connection.
#[derive(Debug, Default)]
pub struct ConnectionWaiters {
    order: FairOrder,
    /// Without measurements, so that each connection costs the same.
    times: ServiceTimes,
}

impl ConnectionWaiters {
    pub fn insert(&mut self, ticket: Ticket, request: Request, arrived: Duration) {
        self.order.insert(ticket, request, arrived, Duration::ZERO);
    }

    pub fn remove(&mut self, ticket: Ticket) {
        self.order.remove(ticket);
    }

    /// Removes the caller that is to check for a connection next. `newest` is the organisation of
    /// the newest idle connection, which it can use without opening another one.
    pub fn next(&mut self, newest: Option<&str>, now: Duration) -> Option<Ticket> {
        self.order.promote(now);
        let (ticket, _) = self.order.pop(newest, &self.times, now)?;
        Some(ticket)
    }
}
