//! Time limits that the engine keeps.

use std::time::Duration;

/// Limits derived from the deployment's contract, read from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// A withdrawn key must not be used longer than this after its withdrawal was stored.
    pub revocation: Duration,
    /// A host that has been out of contact for this long is not expected to keep the other bounds.
    pub contact: Duration,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
    pub rate: RateBounds,
}

/// How far an organisation may exceed its rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBounds {
    /// Operations are counted over this time.
    pub window: Duration,
    /// Part of what the rate and the burst allow in a window.
    pub overage: f64,
    /// Operations besides.
    pub slack: f64,
}

impl Bounds {
    /// Part of the revocation bound after which keys are no longer trusted; the rest covers the
    /// way of a statement to its member.
    const KEY_TRUST: f64 = 0.86;
    /// Part of the revocation bound after which primaries are no longer used. Callers do not count
    /// on a host that has had no way to the store for this long.
    const PRIMARY_VIEW: f64 = 0.6;

    /// A host whose copy of the records of primaries is older uses no primary, and a change of
    /// primary waits this long for hosts that do not answer.
    pub fn primary_view(&self) -> Duration {
        let part = self.revocation.mul_f64(Self::PRIMARY_VIEW);
        part.min(self.contact)
    }

    /// Greatest age of the configuration with which keys are accepted.
    pub fn key_trust(&self) -> Duration {
        self.revocation.mul_f64(Self::KEY_TRUST)
    }
}
