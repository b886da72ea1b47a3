//! MAC key of session tokens.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// MAC key of session tokens: at least 32 random bytes in base64.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TokenSecret {
    pub key: String,
}
