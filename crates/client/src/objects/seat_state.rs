//! State of a seat.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Whether a seat's floor, its guaranteed share of every limit, has taken effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum SeatState {
    /// The holder waits until all other holders have confirmed their reduced floors.
    #[default]
    Joining,
    /// The floor has taken effect. From then on the holder's vote counts when seats are
    /// reassigned.
    Active,
}
