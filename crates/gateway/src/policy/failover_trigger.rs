//! Decides when the primary of a service is replaced.

use std::time::Duration;

use magnoliahatch_core::ids::MemberId;

/// A primary that no host has reached for this long counts as failed.
const UNREACHABLE_LIMIT: Duration = Duration::from_millis(500);
/// A primary that has not been registered for this long counts as failed. A registration may expire
/// while the store is unavailable; it is renewed within two seconds of the store's return.
const UNREGISTERED_LIMIT: Duration = Duration::from_millis(2600);

/// A primary that says for this long that it is a replica has lost the lead for good.
const DEMOTED_LIMIT: Duration = Duration::from_millis(500);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailoverReason {
    /// It is draining, or its data centre is being evacuated.
    Planned,
    /// No host can reach it, or its registration is missing.
    Failed,
    /// It is a replica, although the record names it.
    Demoted,
}

/// Observed state of the current primary.
#[derive(Debug, Clone, Copy, Default)]
pub struct Observation {
    pub registered: bool,
    pub draining: bool,
    pub evacuated: bool,
    /// Whether it recently answered this host or another one.
    pub reachable: bool,
    /// Whether it answered that it is a replica.
    pub demoted: bool,
}

/// Tracks for how long the primary of one service has been unregistered, unreachable or a replica.
#[derive(Debug, Default)]
pub struct FailoverTrigger {
    member: MemberId,
    unregistered_since: Option<Duration>,
    unreachable_since: Option<Duration>,
    demoted_since: Option<Duration>,
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
        let demoted = duration(&mut self.demoted_since, seen.demoted);
        if seen.registered && (seen.draining || seen.evacuated) {
            return Some(FailoverReason::Planned);
        }
        if unregistered >= UNREGISTERED_LIMIT || unreachable >= UNREACHABLE_LIMIT {
            return Some(FailoverReason::Failed);
        }
        (demoted >= DEMOTED_LIMIT).then_some(FailoverReason::Demoted)
    }
}
