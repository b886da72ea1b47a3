//! Settings of limit enforcement.

use magnoliahatch_core::coordinator::Division;
use magnoliahatch_core::coordinator::SeatRule;
use magnoliahatch_core::fair_queue::QueueOrder;
use serde::Deserialize;

/// Policies of limit enforcement. Production uses the defaults; the other values are baselines for
/// comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    pub division: Division,
    pub order: QueueOrder,
    pub seats: SeatRule,
}
