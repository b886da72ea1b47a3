//! Salted hash of a key.

use magnoliahatch_core::ids::KeyId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// SHA-256 over salt and key. Keys are long and random, so a single round is sufficient.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeyHash {
    pub id: KeyId,
    pub salt: String,
    pub hash: String,
}
