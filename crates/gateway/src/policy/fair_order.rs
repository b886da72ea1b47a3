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

/// Grants after which the next statement may move up one class. Ageing thus costs a class at most one
/// grant in eight, however many organisations wait in lower ones.
const PROMOTION_INTERVAL: u32 = 8;
/// Added to the class of statements that will probably end after their deadline.
const DOUBTFUL: u32 = 1 << 31;

/// The waiting statements of a member.
#[derive(Debug, Default)]
pub struct FairOrder {
    statements: BTreeMap<Ticket, WaitingStatement>,
    /// Classes with waiting statements. The virtual times of a class are forgotten when nothing
    /// waits in it.
    classes: BTreeMap<u32, FairClass>,
    /// Statements that will move up one class, by the time at which they do.
    ageing: BTreeSet<(Duration, Ticket)>,
    /// Grants until the next statement may move up.
    until_promotion: u32,
    /// All statements by deadline.
    deadlines: BTreeSet<(Duration, Ticket)>,
    /// Those that were not moved behind all others, by deadline.
    likely: BTreeSet<(Duration, Ticket)>,
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
            entered: arrived,
            ages_at: arrived,
            expected,
        };
        statement.ages_at = statement.ages_at(arrived);
        if statement.class > 0 {
            self.ageing.insert((statement.ages_at, ticket));
        }
        self.likely.insert((statement.request.deadline, ticket));
        self.insert_in_class(ticket, statement);
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

    /// Moves statements that have waited for half of the time that they had left when they entered
    /// their class to the next higher one, if their organisation had no turn within this time.
    /// Otherwise they wait for other statements of their own organisation, and would overtake those
    /// of other organisations.
    pub fn promote(&mut self, now: Duration) {
        while self.until_promotion == 0
            && let Some((at, ticket)) = self.ageing.first().copied()
            && at <= now
        {
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
            self.until_promotion = PROMOTION_INTERVAL;
            if let Some(mut statement) = self.remove(ticket) {
                statement.class = statement.class.saturating_sub(1);
                statement.entered = now;
                statement.ages_at = statement.ages_at(now);
                if statement.class > 0 {
                    self.ageing.insert((statement.ages_at, ticket));
                }
                self.likely.insert((statement.request.deadline, ticket));
                self.insert_in_class(ticket, statement);
            }
        }
    }

    /// Moves statements that will probably end after their deadline behind all others. They get a
    /// slot only if no other statement waits, since it is wasted otherwise.
    pub fn demote(&mut self, times: &ServiceTimes, now: Duration) {
        let latest = now + times.longest_upper_bound(now);
        let doubtful = self.likely.range(..(latest, Ticket::MIN));
        let doubtful = doubtful.filter(|(deadline, ticket)| {
            self.statements.get(ticket).is_some_and(|s| {
                let service = times.get(s.request.kind).upper_bound(now);
                now + service.min(s.limit() / 2) > *deadline
            })
        });
        let doubtful: Vec<Ticket> = doubtful.map(|(_, ticket)| *ticket).collect();
        for ticket in doubtful {
            if let Some(mut statement) = self.remove(ticket) {
                statement.class |= DOUBTFUL;
                self.insert_in_class(ticket, statement);
            }
        }
    }

    /// Removes the statements whose deadline can no longer be met.
    pub fn remove_lost(&mut self, times: &ServiceTimes, now: Duration) -> Vec<Ticket> {
        let latest = now + times.longest_lower_bound(now);
        let lost = self.deadlines.range(..=(latest, Ticket::MAX));
        let lost = lost.filter(|(deadline, ticket)| {
            self.statements
                .get(ticket)
                .is_some_and(|s| now + times.get(s.request.kind).lower_bound(now) >= *deadline)
        });
        let lost: Vec<Ticket> = lost.map(|(_, ticket)| *ticket).collect();
        for ticket in &lost {
            self.remove(*ticket);
        }
        lost
    }

    /// Removes the next statement. Within a class, the preferred organisation may go first.
    pub fn pop(
        &mut self,
        preferred: Option<&str>,
        times: &ServiceTimes,
        now: Duration,
    ) -> Option<(Ticket, WaitingStatement)> {
        let mut first = self.classes.first_entry()?;
        self.until_promotion = self.until_promotion.saturating_sub(1);
        let ticket = first.get_mut().pop(preferred, times, now)?;
        if first.get().is_empty() {
            first.remove();
        }
        Some((ticket, self.forget(ticket)?))
    }

    /// Whether a new statement is the only one of its organisation in its class, and may move up to
    /// class 0 while there is time left for its service.
    pub fn may_age(&self, request: &Request, service: Duration, now: Duration) -> bool {
        let class = request.class();
        let waiting = self.classes.get(&class);
        let left = request.deadline.saturating_sub(now);
        class > 0
            && waiting.is_none_or(|w| w.backlog(&request.organisation) == 0.0)
            && service < left.div_f64(2_f64.powf(f64::from(class)))
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

    fn forget(&mut self, ticket: Ticket) -> Option<WaitingStatement> {
        let statement = self.statements.remove(&ticket)?;
        self.ageing.remove(&(statement.ages_at, ticket));
        let by_deadline = (statement.request.deadline, ticket);
        self.deadlines.remove(&by_deadline);
        self.likely.remove(&by_deadline);
        Some(statement)
    }

    fn insert_in_class(&mut self, ticket: Ticket, statement: WaitingStatement) {
        let request = &statement.request;
        self.deadlines.insert((request.deadline, ticket));
        self.classes.entry(statement.class).or_default().insert(
            &request.organisation,
            request.weight,
            request.deadline,
            ticket,
            request.kind,
        );
        self.statements.insert(ticket, statement);
    }
}
