//! Endpoints for routes.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::route::Route;

use crate::admin::api::paths::Condition;
use crate::admin::api::paths::RoutePath;
use crate::admin::context::Admin;
use crate::admin::edit::Edit;
use crate::admin::error_response::ErrorResponse;

pub(super) fn register(api: &mut ApiDescription<Admin>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(route_list)?;
    api.register(route_get)?;
    api.register(route_put)?;
    api.register(route_delete)
}

/// List routes
#[endpoint { method = GET, path = "/routes" }]
async fn route_list(
    context: RequestContext<Admin>,
) -> Result<HttpResponseOk<Vec<Versioned<Route>>>, ErrorResponse> {
    let list = context.context().list(kind::ROUTE).await?;
    Ok(HttpResponseOk(list))
}

/// Show a route
#[endpoint { method = GET, path = "/routes/{name}" }]
async fn route_get(
    context: RequestContext<Admin>,
    path: Path<RoutePath>,
) -> Result<HttpResponseOk<Versioned<Route>>, ErrorResponse> {
    let name = path.into_inner().name;
    let found = context.context().read(kind::ROUTE, &name).await?;
    Ok(HttpResponseOk(found))
}

/// Create or change a route
#[endpoint { method = PUT, path = "/routes/{name}" }]
async fn route_put(
    context: RequestContext<Admin>,
    path: Path<RoutePath>,
    query: Query<Condition>,
    body: TypedBody<Route>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let name = path.into_inner().name;
    let expected = query.into_inner().if_version;
    let edit = Edit::put(kind::ROUTE, name, expected, &body.into_inner())?;
    Ok(HttpResponseOk(context.context().change(edit).await?))
}

/// Withdraw a route
#[endpoint { method = DELETE, path = "/routes/{name}" }]
async fn route_delete(
    context: RequestContext<Admin>,
    path: Path<RoutePath>,
    query: Query<Condition>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let name = path.into_inner().name;
    let edit = Edit::delete(kind::ROUTE, name, query.into_inner().if_version);
    Ok(HttpResponseOk(context.context().change(edit).await?))
}
