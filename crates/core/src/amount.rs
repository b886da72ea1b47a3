//! Amount of a limit that a host owns, lends, borrows or uses.

use serde::Deserialize;
use serde::Serialize;

/// Tolerance for rounding errors in sums; far below one statement or connection.
const EPSILON: f64 = 1e-9;

/// A statement rate and burst, or a number of connections, which is stored in `rate` with burst 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    pub rate: f64,
    pub burst: f64,
}

impl Amount {
    pub const ZERO: Self = Self {
        rate: 0.0,
        burst: 0.0,
    };

    pub fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst }
    }

    /// Returns an amount of `count` connections.
    pub fn connections(count: u32) -> Self {
        Self::new(f64::from(count), 0.0)
    }

    pub fn plus(self, other: Self) -> Self {
        Self::new(self.rate + other.rate, self.burst + other.burst)
    }

    /// Subtracts `other` and sets negative components to zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self::new(
            (self.rate - other.rate).max(0.0),
            (self.burst - other.burst).max(0.0),
        )
    }

    pub fn max(self, other: Self) -> Self {
        Self::new(self.rate.max(other.rate), self.burst.max(other.burst))
    }

    pub fn min(self, other: Self) -> Self {
        Self::new(self.rate.min(other.rate), self.burst.min(other.burst))
    }

    pub fn scaled(self, factor: f64) -> Self {
        Self::new(self.rate * factor, self.burst * factor)
    }

    /// Whether neither the rate nor the burst exceeds that of `other`.
    pub fn is_within(self, other: Self) -> bool {
        self.rate <= other.rate + EPSILON && self.burst <= other.burst + EPSILON
    }

    pub fn is_zero(self) -> bool {
        self.is_within(Self::ZERO)
    }

    /// Whether rate and burst are finite and not negative. Amounts received from peers are checked
    /// with this.
    pub fn is_valid(self) -> bool {
        self.rate.is_finite() && self.burst.is_finite() && self.rate >= 0.0 && self.burst >= 0.0
    }
}
