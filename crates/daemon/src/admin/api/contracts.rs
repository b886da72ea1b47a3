//! Endpoints for contracts.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::contract_report::ContractReport;
use magnoliahatch_client::admin::contract_terms::ContractTerms;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::contract::Contract;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::store_error::StoreError;

use crate::admin::api::paths::Condition;
use crate::admin::api::paths::ContractPath;
use crate::admin::context::Admin;
use crate::admin::edit::Edit;
use crate::admin::error::AdminError;
use crate::admin::error_response::ErrorResponse;

pub(super) fn register(api: &mut ApiDescription<Admin>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(contract_list)?;
    api.register(contract_get)?;
    api.register(contract_put)?;
    api.register(contract_delete)
}

/// List contracts
#[endpoint { method = GET, path = "/contracts" }]
async fn contract_list(
    context: RequestContext<Admin>,
) -> Result<HttpResponseOk<Vec<Versioned<ContractReport>>>, ErrorResponse> {
    let contracts = context.context().list::<Contract>(kind::CONTRACT).await?;
    Ok(HttpResponseOk(contracts.into_iter().map(report).collect()))
}

/// Show a contract
#[endpoint { method = GET, path = "/contracts/{organisation}" }]
async fn contract_get(
    context: RequestContext<Admin>,
    path: Path<ContractPath>,
) -> Result<HttpResponseOk<Versioned<ContractReport>>, ErrorResponse> {
    let name = path.into_inner().organisation;
    let contract = context.context().read(kind::CONTRACT, &name).await?;
    Ok(HttpResponseOk(report(contract)))
}

/// Create or change a contract
///
/// Keys stay as they are.
#[endpoint { method = PUT, path = "/contracts/{organisation}" }]
async fn contract_put(
    context: RequestContext<Admin>,
    path: Path<ContractPath>,
    query: Query<Condition>,
    body: TypedBody<ContractTerms>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let name = path.into_inner().organisation;
    let expected = query.into_inner().if_version;
    let keys = match context.context().store.get(kind::CONTRACT, &name).await {
        // The write below requires this version, so no key is lost to a concurrent change.
        Ok(object) if object.version == expected => {
            let contract: Contract = serde_json::from_value(object.value)
                .map_err(|error| AdminError::from(StoreError::Format(error)))?;
            contract.keys
        }
        // With any other version, the write below fails with a conflict.
        Ok(_) | Err(StoreError::NotFound { .. }) => Vec::new(),
        Err(error) => return Err(AdminError::from(error).into()),
    };
    let contract = body.into_inner().into_contract(keys);
    let edit = Edit::put(kind::CONTRACT, name, expected, &contract)?;
    Ok(HttpResponseOk(context.context().change(edit).await?))
}

/// Withdraw a contract
///
/// Its keys stop working and its open sessions end.
#[endpoint { method = DELETE, path = "/contracts/{organisation}" }]
async fn contract_delete(
    context: RequestContext<Admin>,
    path: Path<ContractPath>,
    query: Query<Condition>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let name = path.into_inner().organisation;
    let edit = Edit::delete(kind::CONTRACT, name, query.into_inner().if_version);
    Ok(HttpResponseOk(context.context().change(edit).await?))
}

fn report(contract: Versioned<Contract>) -> Versioned<ContractReport> {
    Versioned {
        name: contract.name,
        version: contract.version,
        source: contract.source,
        value: contract.value.into(),
    }
}
