//! Transport protocol of a link.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Transport protocol of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Protocol {
    #[default]
    Tcp,
    Udp,
}
