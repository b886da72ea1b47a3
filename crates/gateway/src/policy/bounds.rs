//! Time and rate limits that the engine guarantees.

use std::time::Duration;

/// Limits from the deployment's contract, as read from the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time for which a withdrawn key may still be accepted after its withdrawal was
    /// stored.
    pub revocation: Duration,
    /// After this long without contact to the store a host need not meet the other bounds.
    pub contact: Duration,
    /// Time between the stop signal and the forced kill of the process.
    pub grace: Duration,
    pub rate: RateBounds,
}

/// How far an organisation may exceed its rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBounds {
    /// Time window over which operations are counted.
    pub window: Duration,
    /// Allowed excess, as a fraction of what the rate and the burst allow in a window.
    pub overage: f64,
    /// Allowed excess in operations, in addition to `overage`.
    pub slack: f64,
}

impl Bounds {
    /// Fraction of the revocation bound after which keys are no longer accepted; the rest covers
    /// the time that a statement takes to reach its member.
    const KEY_AGE_FRACTION: f64 = 0.86;
    /// Fraction of the revocation bound after which primaries are no longer used. Clients do not
    /// rely on a host that has been unable to reach the store for this long.
    const PRIMARY_AGE_FRACTION: f64 = 0.6;

    /// Maximum age of a host's copy of the primary records with which it uses a primary. A change
    /// of primary waits this long for hosts that do not answer.
    pub fn max_primary_record_age(&self) -> Duration {
        let max_age = self.revocation.mul_f64(Self::PRIMARY_AGE_FRACTION);
        max_age.min(self.contact)
    }

    /// Maximum age of the configuration with which keys are accepted.
    pub fn max_key_age(&self) -> Duration {
        self.revocation.mul_f64(Self::KEY_AGE_FRACTION)
    }
}
