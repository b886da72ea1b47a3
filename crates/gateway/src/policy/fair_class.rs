//! Weighted fair queueing between the organisations of one class.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;

use crate::model::statement_kind::StatementKind;
use crate::policy::admission_decision::Ticket;
use crate::policy::flow::Flow;
use crate::policy::service_times::ServiceTimes;
use crate::policy::work_ahead::WorkAhead;

/// Organisations without waiting statements are forgotten beyond this number, so that the state is
/// bounded. The queue itself holds at most 256 statements.
const MAX_FLOWS: usize = 512;
/// Statements by which an organisation may be preferred to the others. Then at most one grant in
/// five costs the opening of a connection, which holds a slot as a statement does.
const MAX_PREFERRED: f64 = 4.0;

/// Waiting statements of a class by organisation. The organisation with the least virtual time is
/// served first and charged the expected service time.
#[derive(Debug, Default)]
pub struct FairClass {
    flows: BTreeMap<OrganisationId, Flow>,
    /// Least virtual time at the last grant. No flow is behind it: new ones start here, so that an
    /// organisation gains no credit for the time before, and `pop` forgets idle ones that it passes.
    virtual_time: f64,
}

impl FairClass {
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(Flow::is_empty)
    }

    pub fn insert(
        &mut self,
        organisation: &str,
        weight: f64,
        deadline: Duration,
        ticket: Ticket,
        kind: StatementKind,
    ) {
        let virtual_time = self.virtual_time;
        let flow = self
            .flows
            .entry(organisation.to_owned())
            .or_insert_with(|| Flow::new(virtual_time));
        flow.weight = weight;
        flow.insert(deadline, ticket, kind);
    }

    pub fn remove(&mut self, organisation: &str, deadline: Duration, ticket: Ticket) {
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.remove(deadline, ticket);
        }
    }

    /// Removes the next statement and charges its organisation for it. One of the preferred
    /// organisation goes first, unless this would put it more than `MAX_PREFERRED` statements ahead.
    pub fn pop(
        &mut self,
        preferred: Option<&str>,
        times: &ServiceTimes,
        now: Duration,
    ) -> Option<Ticket> {
        let waiting = self.flows.iter().filter(|(_, f)| !f.is_empty());
        let (least, flow) = waiting.min_by(|(_, a), (_, b)| {
            let by_time = a.virtual_time.total_cmp(&b.virtual_time);
            by_time.then_with(|| a.first().cmp(&b.first()))
        })?;
        let start = flow.virtual_time;
        let is_near = |name: &&str| {
            let flow = self.flows.get(*name).filter(|f| !f.is_empty());
            flow.is_some_and(|f| {
                (f.virtual_time - start) * f.weight
                    < MAX_PREFERRED * times.expected(StatementKind::Read)
            })
        };
        let next = preferred.filter(is_near).unwrap_or(least).to_owned();
        let flow = self.flows.get_mut(&next)?;
        let (ticket, kind) = flow.pop()?;
        self.virtual_time = self.virtual_time.max(start);
        flow.last_turn = now;
        flow.virtual_time += times.expected(kind) / flow.weight;
        let virtual_time = self.virtual_time;
        let forget_idle = self.flows.len() > MAX_FLOWS;
        self.flows
            .retain(|_, f| !f.is_empty() || (f.virtual_time > virtual_time && !forget_idle));
        Some(ticket)
    }

    /// When a statement of an organisation was last granted or moved to a higher class.
    pub fn last_turn(&self, organisation: &str) -> Duration {
        self.flows
            .get(organisation)
            .map_or(Duration::ZERO, |f| f.last_turn)
    }

    /// Records that a statement of an organisation moved to a higher class.
    pub fn on_promoted(&mut self, organisation: &str, now: Duration) {
        if let Some(flow) = self.flows.get_mut(organisation) {
            flow.last_turn = now;
        }
    }

    /// Adds the work that is served before a new statement of this class.
    pub fn add_work_before(
        &self,
        organisation: &str,
        weight: f64,
        deadline: Duration,
        ahead: &mut WorkAhead<'_>,
    ) {
        let own = self.flows.get(organisation);
        let mut start = own.map_or(self.virtual_time, |f| f.virtual_time);
        if let Some(flow) = own {
            let before = ahead.expected();
            ahead.add(&flow.counts_until(deadline), 1.0);
            start += (ahead.expected() - before) / weight;
        }
        // The others are served until their virtual time reaches that of the new statement.
        for (name, flow) in &self.flows {
            if name != organisation {
                ahead.add_up_to(flow.counts(), (start - flow.virtual_time) * flow.weight);
            }
        }
    }

    /// Adds the work of all waiting statements.
    pub fn add_work(&self, ahead: &mut WorkAhead<'_>) {
        for flow in self.flows.values() {
            ahead.add(flow.counts(), 1.0);
        }
    }

    /// The organisation with the most waiting statements for its weight, and its statement with the
    /// latest deadline.
    pub fn longest(&self) -> Option<(&OrganisationId, Ticket)> {
        let longest = self
            .flows
            .iter()
            .max_by(|a, b| a.1.backlog().total_cmp(&b.1.backlog()))?;
        Some((longest.0, longest.1.last()?))
    }

    /// Number of an organisation's waiting statements in proportion to its weight.
    pub fn backlog(&self, organisation: &str) -> f64 {
        self.flows.get(organisation).map_or(0.0, Flow::backlog)
    }
}
