//! Part of a limit, as it is owned, lent and used.

use serde::Deserialize;
use serde::Serialize;

/// Tolerance for sums of fractions; far below one statement or connection.
const EPSILON: f64 = 1e-9;

/// A statement rate with its burst, or a whole number of connections (`rate`, with no burst).
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

    /// A number of connections.
    pub fn whole(count: u32) -> Self {
        Self::new(f64::from(count), 0.0)
    }

    pub fn plus(self, other: Self) -> Self {
        Self::new(self.rate + other.rate, self.burst + other.burst)
    }

    /// Difference, with negative parts cut to zero.
    pub fn minus(self, other: Self) -> Self {
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

    /// Whether neither part exceeds `other`.
    pub fn fits(self, other: Self) -> bool {
        self.rate <= other.rate + EPSILON && self.burst <= other.burst + EPSILON
    }

    pub fn is_zero(self) -> bool {
        self.fits(Self::ZERO)
    }

    /// Whether both parts are finite and not negative; amounts from peers are checked with this.
    pub fn is_valid(self) -> bool {
        self.rate.is_finite() && self.burst.is_finite() && self.rate >= 0.0 && self.burst >= 0.0
    }
}
