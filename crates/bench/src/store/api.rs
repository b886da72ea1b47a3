//! HTTP API of the store stand-in.

use std::time::Duration;

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseDeleted;
use dropshot::HttpResponseOk;
use dropshot::HttpResponseUpdatedNoContent;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;
use magnoliahatch_client::objects::change_list::ChangeList;
use magnoliahatch_client::objects::object_list::ObjectList;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_core::ids::Revision;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::store::call_error::CallError;
use crate::store::counts::CallCounts;
use crate::store::fault::StoreFault;
use crate::store::server::State;

/// Maximum size of a request body: a value of 1 MiB and 4 KiB for the fields around it.
const MAX_BODY_BYTES: usize = (1 << 20) + 4096;

#[derive(Debug, Deserialize, JsonSchema)]
struct KindPath {
    kind: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ObjectPath {
    kind: String,
    name: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct VersionQuery {
    if_version: Revision,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct WatchQuery {
    after: Revision,
    wait_ms: u64,
}

/// Describes all endpoints.
pub fn description() -> Result<ApiDescription<State>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(object_get)?;
    api.register(object_list)?;
    api.register(object_put)?;
    api.register(object_delete)?;
    api.register(watch)?;
    api.register(fault_set)?;
    api.register(counts)?;
    Ok(api)
}

#[endpoint { method = GET, path = "/objects/{kind}/{name}" }]
async fn object_get(
    context: RequestContext<State>,
    path: Path<ObjectPath>,
) -> Result<HttpResponseOk<StoredObject>, CallError> {
    let path = path.into_inner();
    let object = context
        .context()
        .read(|objects| objects.get(&path.kind, &path.name))
        .await??;
    Ok(HttpResponseOk(object))
}

#[endpoint { method = GET, path = "/objects/{kind}" }]
async fn object_list(
    context: RequestContext<State>,
    path: Path<KindPath>,
) -> Result<HttpResponseOk<ObjectList>, CallError> {
    let kind = path.into_inner().kind;
    let list = context
        .context()
        .read(|objects| objects.list(&kind))
        .await?;
    Ok(HttpResponseOk(list))
}

#[endpoint {
    method = PUT,
    path = "/objects/{kind}/{name}",
    request_body_max_bytes = MAX_BODY_BYTES,
}]
async fn object_put(
    context: RequestContext<State>,
    path: Path<ObjectPath>,
    query: Query<VersionQuery>,
    body: TypedBody<WriteRequest>,
) -> Result<HttpResponseOk<StoredObject>, CallError> {
    let path = path.into_inner();
    let expected = query.into_inner().if_version;
    let write_request = body.into_inner();
    let object = context
        .context()
        .write(|objects| objects.put(&path.kind, &path.name, expected, write_request))
        .await?;
    Ok(HttpResponseOk(object))
}

#[endpoint { method = DELETE, path = "/objects/{kind}/{name}" }]
async fn object_delete(
    context: RequestContext<State>,
    path: Path<ObjectPath>,
    query: Query<VersionQuery>,
) -> Result<HttpResponseDeleted, CallError> {
    let path = path.into_inner();
    let expected = query.into_inner().if_version;
    context
        .context()
        .write(|objects| objects.delete(&path.kind, &path.name, expected))
        .await?;
    Ok(HttpResponseDeleted())
}

#[endpoint { method = GET, path = "/watch" }]
async fn watch(
    context: RequestContext<State>,
    query: Query<WatchQuery>,
) -> Result<HttpResponseOk<ChangeList>, CallError> {
    let query = query.into_inner();
    let wait = Duration::from_millis(query.wait_ms);
    let changes = context.context().watch(query.after, wait).await?;
    Ok(HttpResponseOk(changes))
}

#[endpoint { method = POST, path = "/fault" }]
async fn fault_set(
    context: RequestContext<State>,
    body: TypedBody<StoreFault>,
) -> Result<HttpResponseUpdatedNoContent, CallError> {
    context.context().set_fault(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = GET, path = "/counts" }]
async fn counts(context: RequestContext<State>) -> Result<HttpResponseOk<CallCounts>, CallError> {
    Ok(HttpResponseOk(*context.context().counts()))
}
