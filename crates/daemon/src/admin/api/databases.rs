//! Endpoints for databases.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::switchover_request::SwitchoverRequest;
use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::database::Database;
use magnoliahatch_client::objects::kind;
use tracing::info;

use crate::admin::api::paths::Condition;
use crate::admin::api::paths::DatabasePath;
use crate::admin::context::Admin;
use crate::admin::edit::Edit;
use crate::admin::error::AdminError;
use crate::admin::error_response::ErrorResponse;

pub(super) fn register(api: &mut ApiDescription<Admin>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(database_list)?;
    api.register(database_get)?;
    api.register(database_put)?;
    api.register(database_delete)?;
    api.register(database_switchover)
}

/// List databases
#[endpoint { method = GET, path = "/databases" }]
async fn database_list(
    context: RequestContext<Admin>,
) -> Result<HttpResponseOk<Vec<Versioned<Database>>>, ErrorResponse> {
    let list = context.context().list(kind::DATABASE).await?;
    Ok(HttpResponseOk(list))
}

/// Show a database
#[endpoint { method = GET, path = "/databases/{name}" }]
async fn database_get(
    context: RequestContext<Admin>,
    path: Path<DatabasePath>,
) -> Result<HttpResponseOk<Versioned<Database>>, ErrorResponse> {
    let name = path.into_inner().name;
    let found = context.context().read(kind::DATABASE, &name).await?;
    Ok(HttpResponseOk(found))
}

/// Create or change a database
#[endpoint { method = PUT, path = "/databases/{name}" }]
async fn database_put(
    context: RequestContext<Admin>,
    path: Path<DatabasePath>,
    query: Query<Condition>,
    body: TypedBody<Database>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let name = path.into_inner().name;
    let expected = query.into_inner().if_version;
    let edit = Edit::put(kind::DATABASE, name, expected, &body.into_inner())?;
    Ok(HttpResponseOk(context.context().change(edit).await?))
}

/// Withdraw a database
#[endpoint { method = DELETE, path = "/databases/{name}" }]
async fn database_delete(
    context: RequestContext<Admin>,
    path: Path<DatabasePath>,
    query: Query<Condition>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let name = path.into_inner().name;
    let edit = Edit::delete(kind::DATABASE, name, query.into_inner().if_version);
    Ok(HttpResponseOk(context.context().change(edit).await?))
}

/// Replace the primary
///
/// Answers when the new primary serves. Without a member, the election chooses one.
#[endpoint { method = POST, path = "/databases/{name}/switchover" }]
async fn database_switchover(
    context: RequestContext<Admin>,
    path: Path<DatabasePath>,
    body: TypedBody<SwitchoverRequest>,
) -> Result<HttpResponseOk<SwitchoverResult>, ErrorResponse> {
    let admin = context.context();
    let name = path.into_inner().name;
    let order = body.into_inner();
    // Read from the view, so that a switchover works while the store is unavailable.
    let view = admin.view();
    let database = view
        .databases
        .get(&name)
        .ok_or_else(|| AdminError::NotFound {
            kind: kind::DATABASE.to_owned(),
            name: name.clone(),
        })?;
    if let Some(member) = &order.member
        && !database.members.iter().any(|m| m.name == *member)
    {
        let names: Vec<_> = database.members.iter().map(|m| m.name.as_str()).collect();
        return Err(ErrorResponse::from(AdminError::UnknownMember {
            database: name,
            member: member.clone(),
            known: names.join(", "),
        }));
    }
    info!(
        event = 115,
        database = name,
        member = order.member,
        "switchover ordered"
    );
    let result = (admin.hooks.switchover)(name.clone(), order).await;
    let done = result.map_err(|source| AdminError::Switchover {
        database: name,
        source,
    })?;
    Ok(HttpResponseOk(done))
}
