//! Decides when a host calls the store. Without it, an outage of the store or the loss of the
//! store watcher makes every host of a fleet call the store at once and again and again.

use std::time::Duration;

use crate::policy::backoff::Backoff;

/// Time between two attempts of the whole fleet to read the store, apart from those of the hosts
/// that may watch it for all.
const FLEET_PACE: Duration = Duration::from_millis(50);
/// Pauses vary by this fraction, so that hosts do not call at the same moment.
const JITTER: f64 = 0.5;

/// What a host may do that wants to call the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Call,
    /// The last calls failed; this caller tests with one call whether the store can be reached.
    Probe,
    Wait,
}

/// Admits one host's calls to the store.
#[derive(Debug, Default)]
pub struct StoreAdmission {
    started: bool,
    backoff: Backoff,
    next_probe: Duration,
    is_probing: bool,
    /// Time at which a host with a stale view reads the store, while the view is stale.
    stale_read: Option<Duration>,
}

impl StoreAdmission {
    /// Whether the host has asked its peers for their view after its start, or need not ask them.
    pub fn is_started(&self) -> bool {
        self.started
    }

    pub fn on_started(&mut self) {
        self.started = true;
    }

    /// Whether the last calls failed.
    pub fn is_failing(&self) -> bool {
        self.backoff.is_failing()
    }

    /// Decides about a call. While calls fail, only one is admitted at a time.
    pub fn admit(&mut self, now: Duration) -> Admission {
        if !self.backoff.is_failing() {
            return Admission::Call;
        }
        if self.is_probing || now < self.next_probe {
            return Admission::Wait;
        }
        self.is_probing = true;
        Admission::Probe
    }

    /// Records a success; returns whether the previous call had failed.
    pub fn on_success(&mut self) -> bool {
        self.is_probing = false;
        self.backoff.on_success()
    }

    /// Records a failure. A host that does not watch the store for others pauses for a time that
    /// grows with the number of `hosts`; `random` is between 0 and 1.
    pub fn on_failure(&mut self, watches: bool, hosts: u32, random: f64, now: Duration) {
        // Calls that were under way when the first one failed do not extend the pause.
        if self.backoff.is_failing() && !self.is_probing {
            return;
        }
        self.is_probing = false;
        let mut pause = self.backoff.on_failure(random);
        if !watches {
            let fleet = FLEET_PACE.saturating_mul(hosts);
            pause = pause.max(fleet.mul_f64(1.0 - JITTER + 2.0 * JITTER * random));
        }
        self.next_probe = now + pause;
    }

    /// Whether a host reads the store because its view is stale. The hosts of a fleet do so one
    /// after the other, since the first that succeeds passes its view on.
    pub fn may_read_stale(&mut self, stale: bool, hosts: u32, random: f64, now: Duration) -> bool {
        if !stale {
            self.stale_read = None;
            return false;
        }
        let delay = FLEET_PACE.saturating_mul(hosts).mul_f64(random);
        now >= *self.stale_read.get_or_insert(now + delay)
    }
}
