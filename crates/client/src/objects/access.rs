//! Who may use a route.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Who may use a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Callers give their organisation's key.
    Key,
    /// Open to all; runs under the route's own organisation.
    Open,
}
