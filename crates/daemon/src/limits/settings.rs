//! Settings of the limits.

use magnoliahatch_core::coordinator::Division;
use magnoliahatch_core::fair_queue::Order;
use serde::Deserialize;

/// The defaults are the product; the other values are baselines for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    pub division: Division,
    pub order: Order,
}
