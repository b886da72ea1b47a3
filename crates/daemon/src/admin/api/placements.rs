//! Endpoints for placements.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::placement_body::PlacementBody;
use magnoliahatch_client::admin::subject::Subject;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::placement::Placement;
use magnoliahatch_client::store_error::StoreError;

use crate::admin::api::paths::OptionalCondition;
use crate::admin::api::paths::PlacementPath;
use crate::admin::context::Admin;
use crate::admin::context::MAX_ATTEMPTS;
use crate::admin::edit::Edit;
use crate::admin::error::AdminError;
use crate::admin::error_response::ErrorResponse;

pub(super) fn register(api: &mut ApiDescription<Admin>) -> Result<(), ApiDescriptionRegisterError> {
    api.register(placement_list)?;
    api.register(placement_get)?;
    api.register(placement_put)
}

/// List placements
///
/// What is not listed is in service.
#[endpoint { method = GET, path = "/placements" }]
async fn placement_list(
    context: RequestContext<Admin>,
) -> Result<HttpResponseOk<Vec<Versioned<Placement>>>, ErrorResponse> {
    let list = context.context().list(kind::PLACEMENT).await?;
    Ok(HttpResponseOk(list))
}

/// Show the placement of a host, endpoint or data centre
#[endpoint { method = GET, path = "/placements/{subject}/{name}" }]
async fn placement_get(
    context: RequestContext<Admin>,
    path: Path<PlacementPath>,
) -> Result<HttpResponseOk<Versioned<Placement>>, ErrorResponse> {
    let name = path.into_inner().object_name();
    let found = context.context().read(kind::PLACEMENT, &name).await?;
    Ok(HttpResponseOk(found))
}

/// Take a host, endpoint or data centre out of service or in again
///
/// Without `if_version`, the last of several concurrent changes stays in force.
#[endpoint { method = PUT, path = "/placements/{subject}/{name}" }]
async fn placement_put(
    context: RequestContext<Admin>,
    path: Path<PlacementPath>,
    query: Query<OptionalCondition>,
    body: TypedBody<PlacementBody>,
) -> Result<HttpResponseOk<Accepted>, ErrorResponse> {
    let admin = context.context();
    let path = path.into_inner();
    let state = body.into_inner().state;
    let condition = query.into_inner().if_version;
    let mut attempts = 0;
    loop {
        let view = admin.read_latest().await.map_err(AdminError::from)?;
        let current = view.object(kind::PLACEMENT, &path.object_name());
        let current = current.map_or(0, |object| object.version);
        // A subject that no longer exists can still be put back in service if it has a placement.
        if current == 0 && !subject_exists(&view, &path) {
            return Err(ErrorResponse::from(AdminError::UnknownSubject {
                subject: path.subject.as_str(),
                name: path.name,
            }));
        }
        let expected = condition.unwrap_or(current);
        let edit = Edit::put(kind::PLACEMENT, path.object_name(), expected, &state)?;
        attempts += 1;
        match admin.change(edit).await {
            Err(AdminError::Store(StoreError::Conflict { .. }) | AdminError::Exists { .. })
                if condition.is_none() && attempts < MAX_ATTEMPTS => {}
            other => return Ok(HttpResponseOk(other?)),
        }
    }
}

fn subject_exists(view: &ConfigView, path: &PlacementPath) -> bool {
    let name = &path.name;
    let mut members = view.databases.values().flat_map(|d| &d.members);
    match path.subject {
        Subject::Host => view.hosts.contains_key(name),
        Subject::Endpoint => members.any(|member| member.name == *name),
        Subject::DataCentre => {
            members.any(|member| member.data_centre == *name)
                || view.hosts.values().any(|host| host.data_centre == *name)
        }
    }
}
