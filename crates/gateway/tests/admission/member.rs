//! A simulated member with an admission queue.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::admission::AdmissionQueue;
use magnoliahatch_gateway::policy::admission_decision::AdmissionDecision;
use magnoliahatch_gateway::policy::admission_request::Request;

use crate::statements::millis;

/// A statement that a client sends.
#[derive(Clone)]
pub(crate) struct Arrival {
    pub at: Duration,
    pub request: Request,
    pub service: Duration,
}

/// What became of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Answered {
        start: Duration,
        end: Duration,
    },
    /// Refused when it arrived.
    Refused,
    /// Refused after it had waited until this time.
    Lost(Duration),
}

/// Runs statements, sorted by arrival, in steps of 1 ms until all have ended. Returns their fates in
/// the same order.
pub(crate) fn simulate(mut queue: AdmissionQueue, arrivals: &[Arrival]) -> Vec<Fate> {
    let mut fates: Vec<Option<Fate>> = vec![None; arrivals.len()];
    let mut waiting = BTreeMap::new();
    let mut running: Vec<(Duration, StatementKind, Duration)> = Vec::new();
    let mut next = 0;
    let mut now = arrivals.first().map_or(Duration::ZERO, |a| a.at);
    while fates.iter().any(Option::is_none) || !running.is_empty() {
        running.retain(|(end, kind, service)| {
            if *end <= now {
                queue.release(*kind, *service);
            }
            *end > now
        });
        let mut started = Vec::new();
        while next < arrivals.len() && arrivals[next].at <= now {
            let decision = queue.request(arrivals[next].request.clone(), now);
            match decision {
                AdmissionDecision::Granted => started.push(next),
                AdmissionDecision::Waiting(ticket) => {
                    waiting.insert(ticket, next);
                }
                AdmissionDecision::Refused(_) => fates[next] = Some(Fate::Refused),
            }
            next += 1;
        }
        while let Some(ticket) = queue.grant_next(now) {
            started.extend(waiting.remove(&ticket));
        }
        for ticket in queue.expired(now) {
            let lost = waiting.remove(&ticket).expect("a waiting statement");
            fates[lost] = Some(Fate::Lost(now));
        }
        for index in started {
            let arrival = &arrivals[index];
            let end = now + arrival.service;
            running.push((end, arrival.request.kind, arrival.service));
            fates[index] = Some(Fate::Answered { start: now, end });
        }
        now += millis(1);
    }
    fates.into_iter().flatten().collect()
}
