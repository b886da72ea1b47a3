//! Contract of one organisation.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::key_hash::KeyHash;

/// Every limit that an organisation meets follows from its contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Statements per second over all hosts.
    pub rate: f64,
    /// Statements above the rate that may start at once, over all hosts.
    pub burst: f64,
    /// Oldest data that a read accepts; 0 accepts no age.
    pub max_age_ms: u64,
    /// Weight in the fair queue and in the use of connections.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// A transaction that is idle for longer is rolled back.
    #[serde(default = "default_idle")]
    pub idle_in_transaction_ms: u64,
    #[serde(default)]
    pub keys: Vec<KeyHash>,
}

fn default_weight() -> u32 {
    1
}

fn default_idle() -> u64 {
    10_000
}
