//! Commands on contracts.

use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::contract_report::ContractReport;
use magnoliahatch_client::admin::contract_terms::ContractTerms;
use magnoliahatch_client::admin::versioned::Versioned;

use crate::commands::Area;
use crate::error::CtlError;
use crate::report::Report;
use crate::request::ContractFields;
use crate::request::Verb;

/// Values of the optional fields of a new contract; equal to those of the API.
const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_IDLE_MS: u64 = 10_000;

const AREA: Area<ContractFields, ContractReport, ContractTerms> = Area {
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
    verb: &Verb<ContractFields>,
) -> Result<Report, CtlError> {
    AREA.run(client, verb).await
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

fn body(fields: &ContractFields, found: Option<ContractReport>) -> ContractTerms {
    let base = found.map_or(
        ContractTerms {
            rate: 0.0,
            burst: 0.0,
            max_age_ms: 0,
            weight: DEFAULT_WEIGHT,
            idle_in_transaction_ms: DEFAULT_IDLE_MS,
        },
        |found| found.terms,
    );
    ContractTerms {
        rate: fields.rate.unwrap_or(base.rate),
        burst: fields.burst.unwrap_or(base.burst),
        max_age_ms: fields.max_age.unwrap_or(base.max_age_ms),
        weight: fields.weight.unwrap_or(base.weight),
        idle_in_transaction_ms: fields.idle.unwrap_or(base.idle_in_transaction_ms),
    }
}
