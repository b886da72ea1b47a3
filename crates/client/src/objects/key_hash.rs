//! Salted hash of a key.

use magnoliahatch_core::ids::KeyId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Keys are random and long, so one round of SHA-256 over salt and key is enough.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyHash {
    pub id: KeyId,
    pub salt: String,
    pub hash: String,
}
