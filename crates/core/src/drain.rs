//! Takes hosts, endpoints and data centres out of service without interrupting work.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::DataCentreId;
use crate::ids::HostId;
use crate::ids::MemberId;

/// Subject of a drain.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainSubject {
    Host(HostId),
    Endpoint(MemberId),
    DataCentre(DataCentreId),
}

/// Drain state of a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainState {
    /// The subject accepts new work.
    InService,
    /// The subject accepts no new work. Its current work may continue until the given time.
    Draining { until: Duration },
    /// The drain has ended, and the subject accepts no new work.
    OutOfService,
}

/// Action that the caller must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainAction {
    /// The last work has ended; the subject may be stopped.
    Drained { subject: DrainSubject },
    /// The time limit has passed while work remained. The caller must close that work and report it
    /// as interrupted.
    Expired {
        subject: DrainSubject,
        remaining: usize,
    },
}

/// Counts the work of each subject and tracks the drains.
///
/// A unit of work has several subjects: a statement runs on an endpoint, in that endpoint's data
/// centre, for a session of a host. It is counted for each of them, and starts only if none of
/// them is draining or drained. The caller passes the same subjects to [`Self::on_start`] and
/// [`Self::on_end`].
#[derive(Debug, Default)]
pub struct Drain {
    states: BTreeMap<DrainSubject, DrainState>,
    work: BTreeMap<DrainSubject, usize>,
}

impl Drain {
    /// Starts a unit of work; returns false if one of its subjects accepts no new work.
    #[must_use]
    pub fn on_start(&mut self, subjects: &[DrainSubject]) -> bool {
        if subjects.iter().any(|subject| !self.accepts_work(subject)) {
            return false;
        }
        self.on_mandatory_start(subjects);
        true
    }

    /// Starts a unit of work even if a subject is draining, since no other subject can run it. An
    /// example is a connection to a primary that is not replaced yet.
    pub fn on_mandatory_start(&mut self, subjects: &[DrainSubject]) {
        for subject in subjects {
            *self.work.entry(subject.clone()).or_default() += 1;
        }
    }

    /// Ends a unit of work.
    pub fn on_end(&mut self, subjects: &[DrainSubject]) -> Vec<DrainAction> {
        for subject in subjects {
            if let Some(count) = self.work.get_mut(subject) {
                *count -= 1;
                if *count == 0 {
                    self.work.remove(subject);
                }
            }
        }
        let drained = subjects
            .iter()
            .filter_map(|subject| self.complete_if_idle(subject));
        drained.collect()
    }

    /// Starts to drain a subject. The drain ends at once if there is no work, and at the latest
    /// after `limit`. A subject that is already draining keeps its time limit.
    pub fn on_drain(
        &mut self,
        subject: DrainSubject,
        limit: Duration,
        now: Duration,
    ) -> Vec<DrainAction> {
        if !self.accepts_work(&subject) {
            return Vec::new();
        }
        let until = now.saturating_add(limit);
        self.states
            .insert(subject.clone(), DrainState::Draining { until });
        self.complete_if_idle(&subject).into_iter().collect()
    }

    /// Returns a subject to service, whether or not its drain has ended.
    pub fn on_restore(&mut self, subject: &DrainSubject) {
        self.states.remove(subject);
    }

    /// Ends the drains whose time limit has passed.
    pub fn on_tick(&mut self, now: Duration) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        for (subject, state) in &mut self.states {
            if matches!(state, DrainState::Draining { until } if *until <= now) {
                *state = DrainState::OutOfService;
                actions.push(DrainAction::Expired {
                    subject: subject.clone(),
                    remaining: self.work.get(subject).copied().unwrap_or(0),
                });
            }
        }
        actions
    }

    /// Time at which [`Self::on_tick`] must be called next; `None` if no drain is in progress.
    pub fn next_tick(&self) -> Option<Duration> {
        let deadlines = self.states.values().filter_map(|state| match state {
            DrainState::Draining { until } => Some(*until),
            DrainState::InService | DrainState::OutOfService => None,
        });
        deadlines.min()
    }

    /// Current state of a subject.
    pub fn state(&self, subject: &DrainSubject) -> DrainState {
        self.states
            .get(subject)
            .copied()
            .unwrap_or(DrainState::InService)
    }

    /// Number of units of work of a subject that have started and not ended.
    pub fn remaining(&self, subject: &DrainSubject) -> usize {
        self.work.get(subject).copied().unwrap_or(0)
    }

    fn accepts_work(&self, subject: &DrainSubject) -> bool {
        self.state(subject) == DrainState::InService
    }

    fn complete_if_idle(&mut self, subject: &DrainSubject) -> Option<DrainAction> {
        if self.remaining(subject) > 0 {
            return None;
        }
        let state = self.states.get_mut(subject)?;
        if !matches!(state, DrainState::Draining { .. }) {
            return None;
        }
        *state = DrainState::OutOfService;
        Some(DrainAction::Drained {
            subject: subject.clone(),
        })
    }
}
