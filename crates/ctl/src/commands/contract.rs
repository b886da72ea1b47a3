//! Commands on contracts.

use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::contract_report::ContractReport;
use magnoliahatch_client::admin::contract_terms::ContractTerms;
use magnoliahatch_client::admin::versioned::Versioned;

use crate::commands::Resource;
use crate::error::CtlError;
use crate::report::Report;
use crate::request::Action;
use crate::request::ContractFields;

/// Defaults of the optional fields of a new contract, the same as those of the administration API.
const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_IDLE_IN_TRANSACTION_MS: u64 = 10_000;

const RESOURCE: Resource<ContractFields, ContractReport, ContractTerms> = Resource {
    path: "/contracts",
    header: &[
        "ORGANISATION",
        "VERSION",
        "RATE",
        "BURST",
        "MAX AGE MS",
        "WEIGHT",
        "IDLE MS",
        "KEYS",
    ],
    row,
    body,
};

pub(super) async fn run(
    client: &AdminClient,
    action: &Action<ContractFields>,
) -> Result<Report, CtlError> {
    RESOURCE.run(client, action).await
}

fn row(found: &Versioned<ContractReport>) -> Vec<String> {
    let ContractReport { terms, keys } = &found.value;
    vec![
        found.name.clone(),
        found.version.to_string(),
        terms.rate.to_string(),
        terms.burst.to_string(),
        terms.max_age_ms.to_string(),
        terms.weight.to_string(),
        terms.idle_in_transaction_ms.to_string(),
        keys.len().to_string(),
    ]
}

fn body(fields: &ContractFields, current: Option<ContractReport>) -> ContractTerms {
    let base = current.map_or(
        ContractTerms {
            rate: 0.0,
            burst: 0.0,
            max_age_ms: 0,
            weight: DEFAULT_WEIGHT,
            idle_in_transaction_ms: DEFAULT_IDLE_IN_TRANSACTION_MS,
        },
        |current| current.terms,
    );
    ContractTerms {
        rate: fields.rate.unwrap_or(base.rate),
        burst: fields.burst.unwrap_or(base.burst),
        max_age_ms: fields.max_age_ms.unwrap_or(base.max_age_ms),
        weight: fields.weight.unwrap_or(base.weight),
        idle_in_transaction_ms: fields
            .idle_in_transaction_ms
            .unwrap_or(base.idle_in_transaction_ms),
    }
}
