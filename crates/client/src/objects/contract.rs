//! Contract of one organisation.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::key_hash::KeyHash;

/// Contract of an organisation; all its limits are derived from this.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Statements per second, summed over all hosts.
    pub rate: f64,
    /// Statements above the rate that may start at once, summed over all hosts.
    pub burst: f64,
    /// Maximum staleness of the data that reads accept; 0 requires current data.
    pub max_age_ms: u64,
    /// Weight in the fair queue and in the distribution of connections.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Transactions that are idle for longer are rolled back.
    #[serde(default = "default_idle_in_transaction_ms")]
    pub idle_in_transaction_ms: u64,
    #[serde(default)]
    pub keys: Vec<KeyHash>,
}

fn default_weight() -> u32 {
    1
}

fn default_idle_in_transaction_ms() -> u64 {
    10_000
}
