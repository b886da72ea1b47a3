//! Decides when the primary of a service is replaced.

use std::time::Duration;

use magnoliahatch_core::ids::MemberId;

/// A primary that no host has reached for this long counts as failed.
const UNREACHABLE_LIMIT: Duration = Duration::from_millis(500);
/// A primary that has not been registered for this long counts as failed. A registration may expire
/// while the store is unavailable; it is renewed within two seconds of the store's return.
const UNREGISTERED_LIMIT: Duration = Duration::from_millis(2600);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverReason {
    /// It is draining, or its data centre is being evacuated.
    Planned,
    /// No host can reach it, or its registration is missing.
    Failed,
}

/// Observed state of the current primary.
#[derive(Debug, Clone, Copy, Default)]
pub struct Observation {
    pub registered: bool,
    pub draining: bool,
    pub evacuated: bool,
    /// Whether it recently answered this host or another one.
    pub reachable: bool,
}

/// Tracks for how long the primary of one service has been unregistered or unreachable.
#[derive(Debug, Default)]
pub struct FailoverTrigger {
    member: MemberId,
    unregistered_since: Option<Duration>,
    unreachable_since: Option<Duration>,
}

impl FailoverTrigger {
    /// Returns why the primary is to be replaced now, if it is, given an observation that started
    /// at `started`.
    pub fn observe(
        &mut self,
        primary: &str,
        seen: Observation,
        started: Duration,
        now: Duration,
    ) -> Option<FailoverReason> {
        if self.member != primary {
            *self = Self {
                member: primary.to_owned(),
                ..Self::default()
            };
        }
        let duration = |since: &mut Option<Duration>, holds: bool| {
            if !holds {
                *since = None;
                return Duration::ZERO;
            }
            now.saturating_sub(*since.get_or_insert(started))
        };
        let unregistered = duration(&mut self.unregistered_since, !seen.registered);
        let unreachable = duration(&mut self.unreachable_since, !seen.reachable);
        if seen.registered && (seen.draining || seen.evacuated) {
            return Some(FailoverReason::Planned);
        }
        (unregistered >= UNREGISTERED_LIMIT || unreachable >= UNREACHABLE_LIMIT)
            .then_some(FailoverReason::Failed)
    }
}
