//! Time limits that the engine keeps.

use std::time::Duration;

/// Limits derived from the deployment's contract, read from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// A withdrawn key must not be used longer than this after its withdrawal was stored.
    pub revocation: Duration,
    /// A host that read the store longer ago than this uses no primary, and a change of primary
    /// waits this long for hosts that do not answer.
    pub primary_view: Duration,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
}

impl Bounds {
    /// Part of the revocation bound after which keys are no longer trusted; the rest covers the
    /// way of a statement to its member.
    const KEY_TRUST: f64 = 0.86;

    /// Greatest age of the configuration with which keys are accepted.
    pub fn key_trust(&self) -> Duration {
        self.revocation.mul_f64(Self::KEY_TRUST)
    }
}
