//! Service times of one member by kind of statement.

use std::time::Duration;

use crate::model::statement_kind::StatementKind;
use crate::policy::service_time::ServiceTime;

/// Service time in seconds that is assumed until one was measured.
const INITIAL_SERVICE_TIME: f64 = 0.010;
/// Least service time in seconds that is charged, so that each statement advances its
/// organisation's virtual time.
const MIN_SERVICE_TIME: f64 = 1e-6;

/// Measured service times of a member.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    read: ServiceTime,
    write: ServiceTime,
    commit: ServiceTime,
}

impl ServiceTimes {
    pub fn get(&self, kind: StatementKind) -> &ServiceTime {
        match kind {
            StatementKind::Read => &self.read,
            StatementKind::Write => &self.write,
            StatementKind::Commit => &self.commit,
        }
    }

    pub fn record(&mut self, kind: StatementKind, used: Duration, now: Duration) {
        let time = match kind {
            StatementKind::Read => &mut self.read,
            StatementKind::Write => &mut self.write,
            StatementKind::Commit => &mut self.commit,
        };
        time.record(used, now);
    }

    /// Expected service time in seconds. A kind that was not measured yet is taken for a read.
    pub fn expected(&self, kind: StatementKind) -> f64 {
        let mean = self.get(kind).mean().or(self.read.mean());
        mean.unwrap_or(INITIAL_SERVICE_TIME).max(MIN_SERVICE_TIME)
    }
    /// The longest of the upper bounds of the kinds.
    pub fn longest_upper_bound(&self, now: Duration) -> Duration {
        let bounds = [&self.read, &self.write, &self.commit].map(|t| t.upper_bound(now));
        bounds.into_iter().max().unwrap_or_default()
    }

    /// The longest of the lower bounds of the kinds.
    pub fn longest_lower_bound(&self, now: Duration) -> Duration {
        let bounds = [&self.read, &self.write, &self.commit].map(|t| t.lower_bound(now));
        bounds.into_iter().max().unwrap_or_default()
    }
}
