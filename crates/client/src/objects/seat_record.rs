//! One entry of the seat table.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::SeatNumber;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::seat_state::SeatState;

/// Assignment of a seat, and its share of every limit, to one run of a host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeatRecord {
    pub seat: SeatNumber,
    pub host: HostId,
    pub incarnation: Incarnation,
    pub state: SeatState,
}
