//! Order of the statements that wait for a slot at one member: by class, then fairly between
//! organisations, then by deadline.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::policy::admission_decision::Ticket;
use crate::policy::admission_request::Request;
use crate::policy::fair_class::FairClass;
use crate::policy::service_times::ServiceTimes;
use crate::policy::waiting_statement::WaitingStatement;
use crate::policy::work_ahead::WorkAhead;

/// The waiting statements of a member.
#[derive(Debug, Default)]
pub struct FairOrder {
    statements: BTreeMap<Ticket, WaitingStatement>,
    /// Classes with waiting statements. The virtual times of a class are forgotten when nothing
    /// waits in it.
    classes: BTreeMap<u32, FairClass>,
    /// Statements that will move up one class, by the time at which they do.
    ageing: BTreeSet<(Duration, Ticket)>,
}

impl FairOrder {
    pub fn len(&self) -> usize {
        self.statements.len()
    }

    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    pub fn get(&self, ticket: Ticket) -> Option<&WaitingStatement> {
        self.statements.get(&ticket)
    }

    pub fn insert(
        &mut self,
        ticket: Ticket,
        request: Request,
        arrived: Duration,
        expected: Duration,
    ) {
        let mut statement = WaitingStatement {
            class: request.class(),
            request,
            arrived,
            ages_at: arrived,
            expected,
        };
        statement.ages_at = statement.ages_at(arrived);
        if statement.class > 0 {
            self.ageing.insert((statement.ages_at, ticket));
        }
        self.insert_in_class(ticket, &statement.request, statement.class);
        self.statements.insert(ticket, statement);
    }

    pub fn remove(&mut self, ticket: Ticket) -> Option<WaitingStatement> {
        let statement = self.forget(ticket)?;
        if let Some(class) = self.classes.get_mut(&statement.class) {
            let request = &statement.request;
            class.remove(&request.organisation, request.deadline, ticket);
            if class.is_empty() {
                self.classes.remove(&statement.class);
            }
        }
        Some(statement)
    }

    /// Moves statements that have waited for half of their time limit to the next higher class, if
    /// their organisation had no turn in their class within this time. Otherwise they wait for other
    /// statements of their own organisation, and would overtake those of other organisations.
    pub fn promote(&mut self, now: Duration) {
        while let Some((at, ticket)) = self.ageing.first().copied() {
            if at > now {
                return;
            }
            self.ageing.remove(&(at, ticket));
            let Some(statement) = self.statements.get_mut(&ticket) else {
                continue;
            };
            let Some(class) = self.classes.get_mut(&statement.class) else {
                continue;
            };
            let organisation = &statement.request.organisation;
            statement.ages_at = statement.ages_at(class.last_turn(organisation));
            if statement.ages_at > now {
                self.ageing.insert((statement.ages_at, ticket));
                continue;
            }
            class.on_promoted(organisation, now);
            if let Some(mut statement) = self.remove(ticket) {
                statement.class = statement.class.saturating_sub(1);
                self.insert_in_class(ticket, &statement.request, statement.class);
                self.statements.insert(ticket, statement);
            }
        }
    }

    /// Removes the next statement. Within a class, the preferred organisation may go first.
    pub fn pop(
        &mut self,
        preferred: Option<&str>,
        times: &ServiceTimes,
        now: Duration,
    ) -> Option<(Ticket, WaitingStatement)> {
        let mut first = self.classes.first_entry()?;
        let ticket = first.get_mut().pop(preferred, times, now)?;
        if first.get().is_empty() {
            first.remove();
        }
        Some((ticket, self.forget(ticket)?))
    }

    /// Adds the work that is served before a new statement.
    pub fn add_work_before(&self, request: &Request, ahead: &mut WorkAhead<'_>) {
        for (class, waiting) in self.classes.range(..=request.class()) {
            if *class < request.class() {
                waiting.add_work(ahead);
            } else {
                let Request {
                    organisation,
                    weight,
                    deadline,
                    ..
                } = request;
                waiting.add_work_before(organisation, *weight, *deadline, ahead);
            }
        }
    }

    /// The statement that gives its place in a full queue to a new one: the last one of the
    /// organisation with the most waiting statements in the lowest class. `None` if the new one is
    /// itself of that organisation, or of a lower class.
    pub fn displaced_by(&self, request: &Request) -> Option<Ticket> {
        let (class, waiting) = self.classes.last_key_value()?;
        let (organisation, ticket) = waiting.longest()?;
        let own = waiting.backlog(&request.organisation) + 1.0 / request.weight;
        let is_longer =
            *organisation != request.organisation && waiting.backlog(organisation) > own;
        let gives_way = *class > request.class() || (*class == request.class() && is_longer);
        gives_way.then_some(ticket)
    }

    /// The statements for which `is_lost` holds.
    pub fn select(&self, is_lost: impl Fn(&Request) -> bool) -> Vec<Ticket> {
        let lost = self.statements.iter().filter(|(_, s)| is_lost(&s.request));
        lost.map(|(ticket, _)| *ticket).collect()
    }

    fn forget(&mut self, ticket: Ticket) -> Option<WaitingStatement> {
        let statement = self.statements.remove(&ticket)?;
        self.ageing.remove(&(statement.ages_at, ticket));
        Some(statement)
    }

    fn insert_in_class(&mut self, ticket: Ticket, request: &Request, class: u32) {
        self.classes.entry(class).or_default().insert(
            &request.organisation,
            request.weight,
            request.deadline,
            ticket,
            request.kind,
        );
    }
}
