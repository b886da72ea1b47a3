//! Body of a change of placement.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::placement::Placement;

/// Body of a change of placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlacementBody {
    pub state: Placement,
}
