//! The part of a contract that operators set directly.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::contract::Contract;
use crate::objects::key_hash::KeyHash;

/// A contract without its keys, which have calls of their own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ContractTerms {
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
    #[serde(default = "default_idle_in_transaction_ms")]
    pub idle_in_transaction_ms: u64,
}

impl ContractTerms {
    /// Builds the stored contract from these terms and its keys.
    pub fn into_contract(self, keys: Vec<KeyHash>) -> Contract {
        Contract {
            rate: self.rate,
            burst: self.burst,
            max_age_ms: self.max_age_ms,
            weight: self.weight,
            idle_in_transaction_ms: self.idle_in_transaction_ms,
            keys,
        }
    }
}

impl From<&Contract> for ContractTerms {
    fn from(contract: &Contract) -> Self {
        Self {
            rate: contract.rate,
            burst: contract.burst,
            max_age_ms: contract.max_age_ms,
            weight: contract.weight,
            idle_in_transaction_ms: contract.idle_in_transaction_ms,
        }
    }
}

fn default_weight() -> u32 {
    1
}

fn default_idle_in_transaction_ms() -> u64 {
    10_000
}
