//! Calls on placements.

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
use crate::admin::context::RETRIES;
use crate::admin::edit::Edit;
use crate::admin::error::AdminError;
use crate::admin::refused::Refused;

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
) -> Result<HttpResponseOk<Vec<Versioned<Placement>>>, Refused> {
    let list = context.context().list(kind::PLACEMENT).await?;
    Ok(HttpResponseOk(list))
}

/// Show the placement of a host, endpoint or data centre
#[endpoint { method = GET, path = "/placements/{subject}/{name}" }]
async fn placement_get(
    context: RequestContext<Admin>,
    path: Path<PlacementPath>,
) -> Result<HttpResponseOk<Versioned<Placement>>, Refused> {
    let name = path.into_inner().object_name();
    let found = context.context().show(kind::PLACEMENT, &name).await?;
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
) -> Result<HttpResponseOk<Accepted>, Refused> {
    let admin = context.context();
    let path = path.into_inner();
    let state = body.into_inner().state;
    let condition = query.into_inner().if_version;
    let mut attempts = 0;
    loop {
        let view = admin.newest().await.map_err(AdminError::from)?;
        let current = view.object(kind::PLACEMENT, &path.object_name());
        let current = current.map_or(0, |object| object.version);
        // Something that left while it was out can still be taken in.
        if current == 0 && !known(&view, &path) {
            return Err(Refused::from(AdminError::UnknownSubject {
                subject: path.subject.as_str(),
                name: path.name,
            }));
        }
        let expected = condition.unwrap_or(current);
        let edit = Edit::put(kind::PLACEMENT, path.object_name(), expected, &state)?;
        attempts += 1;
        match admin.change(edit).await {
            Err(AdminError::Store(StoreError::Conflict { .. }) | AdminError::Exists { .. })
                if condition.is_none() && attempts < RETRIES => {}
            other => return Ok(HttpResponseOk(other?)),
        }
    }
}

fn known(view: &ConfigView, path: &PlacementPath) -> bool {
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
