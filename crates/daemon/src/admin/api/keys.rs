//! Endpoints for keys of organisations.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::endpoint;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::NewKey;
use magnoliahatch_client::keys;
use magnoliahatch_client::objects::contract::Contract;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::store_error::StoreError;

use crate::admin::api::paths::ContractPath;
use crate::admin::api::paths::KeyPath;
use crate::admin::context::Admin;
use crate::admin::context::MAX_ATTEMPTS;
use crate::admin::edit::Edit;
use crate::admin::error::AdminError;
use crate::admin::error_response::ErrorResponse;

pub(super) fn register(api: &mut ApiDescription<Admin>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(key_create)?;
    api.register(key_withdraw)
}

/// Create a key
///
/// The answer is the only place where the key is shown. Existing keys stay valid.
#[endpoint { method = POST, path = "/contracts/{organisation}/keys" }]
async fn key_create(
    context: RequestContext<Admin>,
    path: Path<ContractPath>,
) -> Result<HttpResponseOk<NewKey>, ErrorResponse> {
    let organisation = path.into_inner().organisation;
    let created = keys::create();
    let accepted = change_keys(context.context(), &organisation, |contract| {
        // The key is already present if an earlier attempt took effect and the contract was then
        // changed again.
        if !contract.has_key(&created.hash.id) {
            contract.keys.push(created.hash.clone());
        }
        Ok(())
    })
    .await?;
    Ok(HttpResponseOk(NewKey {
        id: created.hash.id,
        key: created.key,
        version: accepted.version,
    }))
}

/// Withdraw a key
///
/// Sessions that were opened with it end.
#[endpoint { method = DELETE, path = "/contracts/{organisation}/keys/{id}" }]
async fn key_withdraw(
    context: RequestContext<Admin>,
    path: Path<KeyPath>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let KeyPath { organisation, id } = path.into_inner();
    let accepted = change_keys(context.context(), &organisation, |contract| {
        let before = contract.keys.len();
        contract.keys.retain(|key| key.id != id);
        if contract.keys.len() == before {
            return Err(AdminError::UnknownKey {
                organisation: organisation.clone(),
                id: id.clone(),
            });
        }
        Ok(())
    })
    .await?;
    Ok(HttpResponseOk(accepted))
}

/// Changes the keys of a contract. A change of keys commutes with any other change of the contract,
/// so it is retried on the newer version after a conflict.
async fn change_keys(
    admin: &Admin,
    organisation: &str,
    change: impl Fn(&mut Contract) -> Result<(), AdminError>,
) -> Result<Accepted, AdminError> {
    let mut attempts = 0;
    loop {
        let found = admin.store.get(kind::CONTRACT, organisation).await;
        let object = found.map_err(|error| match error {
            StoreError::NotFound { kind, name } => AdminError::NotFound { kind, name },
            error => error.into(),
        })?;
        let mut contract: Contract =
            serde_json::from_value(object.value).map_err(StoreError::Format)?;
        change(&mut contract)?;
        let name = organisation.to_owned();
        let edit = Edit::put(kind::CONTRACT, name, object.version, &contract)?;
        attempts += 1;
        match admin.change(edit).await {
            Err(AdminError::Store(StoreError::Conflict { .. })) if attempts < MAX_ATTEMPTS => {}
            other => return other,
        }
    }
}
