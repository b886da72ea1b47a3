//! Key of the session tokens' MAC.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// `key` is base64 of at least 32 random bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TokenSecret {
    pub key: String,
}
