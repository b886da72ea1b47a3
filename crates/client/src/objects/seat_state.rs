//! Whether a seat's floor has come into force.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Whether a seat's floor has come into force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum SeatState {
    /// The holder waits until all others have confirmed their smaller floors.
    #[default]
    Joining,
    /// The floor has been in force; the holder's word counts when seats are reassigned.
    Active,
}
