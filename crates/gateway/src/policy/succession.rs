//! Decides when a service's primary is replaced.

use std::time::Duration;

use magnoliahatch_core::ids::MemberId;

/// Silence after which a primary that no host reaches counts as failed.
const FAILURE: Duration = Duration::from_millis(500);
/// A registration may lapse while the store is away, and is back within two seconds of its
/// return; one that is missing longer is gone.
const GONE: Duration = Duration::from_millis(2600);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It leaves, or its data centre is taken out of service.
    Planned,
    /// No host reaches it, or its registration is gone.
    Failed,
}

/// What is known of the present primary.
#[derive(Debug, Clone, Copy, Default)]
pub struct Observation {
    pub registered: bool,
    pub draining: bool,
    pub evacuated: bool,
    /// Whether this host or a peer has had an answer from it recently.
    pub reachable: bool,
}

/// Follows one service's primary.
#[derive(Debug, Default)]
pub struct Succession {
    member: MemberId,
    missing: Option<Duration>,
    silent: Option<Duration>,
}

impl Succession {
    /// Whether the primary is to be replaced now, after an observation that began at `began`.
    pub fn observe(
        &mut self,
        primary: &str,
        seen: Observation,
        began: Duration,
        now: Duration,
    ) -> Option<Reason> {
        if self.member != primary {
            *self = Self {
                member: primary.to_owned(),
                ..Self::default()
            };
        }
        let since = |start: &mut Option<Duration>, holds: bool| {
            if !holds {
                *start = None;
                return Duration::ZERO;
            }
            now.saturating_sub(*start.get_or_insert(began))
        };
        let missing = since(&mut self.missing, !seen.registered);
        let silent = since(&mut self.silent, !seen.reachable);
        if seen.registered && (seen.draining || seen.evacuated) {
            return Some(Reason::Planned);
        }
        (missing >= GONE || silent >= FAILURE).then_some(Reason::Failed)
    }
}
