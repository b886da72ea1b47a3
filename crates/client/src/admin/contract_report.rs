//! A contract as the administration API shows it.

use magnoliahatch_core::ids::KeyId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::admin::contract_terms::ContractTerms;
use crate::objects::contract::Contract;

/// A contract with the identifiers of its keys; hashes stay in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ContractReport {
    pub terms: ContractTerms,
    pub keys: Vec<KeyId>,
}

impl From<Contract> for ContractReport {
    fn from(contract: Contract) -> Self {
        Self {
            terms: ContractTerms::from(&contract),
            keys: contract.keys.into_iter().map(|key| key.id).collect(),
        }
    }
}
