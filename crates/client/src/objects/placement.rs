//! Whether a host, endpoint or data centre is in service.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Whether a host, endpoint or data centre is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    In,
    Out,
}
