//! The seat table, the only object of its kind.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::seat_record::SeatRecord;

/// Assignment of all seats to hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeatTable {
    pub seats: Vec<SeatRecord>,
}
