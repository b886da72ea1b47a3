//! Takes hosts, endpoints and data centres out of service without interrupting work.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::DataCentreId;
use crate::ids::HostId;
use crate::ids::MemberId;

/// What can be drained.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainSubject {
    Host(HostId),
    Endpoint(MemberId),
    DataCentre(DataCentreId),
}

/// Whether a subject takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainState {
    /// It takes new work.
    In,
    /// It takes no new work and finishes what it has, until the given time.
    Draining { until: Duration },
    /// The drain is done.
    Out,
}

/// What the caller must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainAction {
    /// The last work has ended; the subject may be stopped.
    Drained { subject: DrainSubject },
    /// The time limit passed first; the caller closes what remains and reports it as interrupted.
    Expired {
        subject: DrainSubject,
        remaining: usize,
    },
}

/// Counts the work of every subject and follows the drains.
///
/// A piece of work has several subjects: a statement runs on an endpoint, in that endpoint's data
/// centre, for a session of a host. It is counted for each of them, and starts only if none of
/// them is leaving. The caller passes the same subjects to [`Self::on_start`] and
/// [`Self::on_end`].
#[derive(Debug, Default)]
pub struct Drain {
    states: BTreeMap<DrainSubject, DrainState>,
    work: BTreeMap<DrainSubject, usize>,
}

impl Drain {
    /// Starts a piece of work; false if one of its subjects takes no new work.
    #[must_use]
    pub fn on_start(&mut self, subjects: &[DrainSubject]) -> bool {
        if subjects.iter().any(|subject| !self.takes_work(subject)) {
            return false;
        }
        self.on_required(subjects);
        true
    }

    /// Starts a piece of work that can run nowhere else, although a subject may be leaving, such
    /// as a connection to a primary that is not replaced yet.
    pub fn on_required(&mut self, subjects: &[DrainSubject]) {
        for subject in subjects {
            *self.work.entry(subject.clone()).or_default() += 1;
        }
    }

    /// Ends a piece of work that was started.
    pub fn on_end(&mut self, subjects: &[DrainSubject]) -> Vec<DrainAction> {
        for subject in subjects {
            if let Some(count) = self.work.get_mut(subject) {
                *count -= 1;
                if *count == 0 {
                    self.work.remove(subject);
                }
            }
        }
        let ended = subjects.iter().filter_map(|subject| self.finish(subject));
        ended.collect()
    }

    /// Begins to drain a subject. It is done at once if there is no work, and at the latest after
    /// `limit`. A subject that is already leaving keeps its time limit.
    pub fn on_out(
        &mut self,
        subject: DrainSubject,
        limit: Duration,
        now: Duration,
    ) -> Vec<DrainAction> {
        if !self.takes_work(&subject) {
            return Vec::new();
        }
        let until = now.saturating_add(limit);
        self.states
            .insert(subject.clone(), DrainState::Draining { until });
        self.finish(&subject).into_iter().collect()
    }

    /// Takes a subject in again, whether or not its drain is done.
    pub fn on_in(&mut self, subject: &DrainSubject) {
        self.states.remove(subject);
    }

    /// Ends the drains whose time limit has passed.
    pub fn on_time(&mut self, now: Duration) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        for (subject, state) in &mut self.states {
            if matches!(state, DrainState::Draining { until } if *until <= now) {
                *state = DrainState::Out;
                actions.push(DrainAction::Expired {
                    subject: subject.clone(),
                    remaining: self.work.get(subject).copied().unwrap_or(0),
                });
            }
        }
        actions
    }

    /// When [`Self::on_time`] has something to do; none while nothing drains.
    pub fn deadline(&self) -> Option<Duration> {
        let limits = self.states.values().filter_map(|state| match state {
            DrainState::Draining { until } => Some(*until),
            DrainState::In | DrainState::Out => None,
        });
        limits.min()
    }

    /// State of a subject.
    pub fn state(&self, subject: &DrainSubject) -> DrainState {
        self.states.get(subject).copied().unwrap_or(DrainState::In)
    }

    /// Work of a subject that has started and not ended.
    pub fn remaining(&self, subject: &DrainSubject) -> usize {
        self.work.get(subject).copied().unwrap_or(0)
    }

    fn takes_work(&self, subject: &DrainSubject) -> bool {
        self.state(subject) == DrainState::In
    }

    fn finish(&mut self, subject: &DrainSubject) -> Option<DrainAction> {
        if self.remaining(subject) > 0 {
            return None;
        }
        let state = self.states.get_mut(subject)?;
        if !matches!(state, DrainState::Draining { .. }) {
            return None;
        }
        *state = DrainState::Out;
        Some(DrainAction::Drained {
            subject: subject.clone(),
        })
    }
}
