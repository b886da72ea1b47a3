//! Commands on routes.

use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::access::Access;
use magnoliahatch_client::objects::route::Route;

use crate::commands::Resource;
use crate::commands::or_dash;
use crate::error::CtlError;
use crate::report::Report;
use crate::request::Action;
use crate::request::RouteFields;

const RESOURCE: Resource<RouteFields, Route, Route> = Resource {
    path: "/routes",
    header: &["ROUTE", "VERSION", "DATABASE", "ACCESS", "ORGANISATION"],
    row,
    body,
};

pub(super) async fn run(
    client: &AdminClient,
    action: &Action<RouteFields>,
) -> Result<Report, CtlError> {
    RESOURCE.run(client, action).await
}

fn row(found: &Versioned<Route>) -> Vec<String> {
    let access = match found.value.access {
        Access::Key => "key",
        Access::Open => "open",
    };
    vec![
        found.name.clone(),
        found.version.to_string(),
        found.value.database.clone(),
        access.to_owned(),
        or_dash(found.value.organisation.as_ref()),
    ]
}

fn body(fields: &RouteFields, current: Option<Route>) -> Route {
    let base = current.unwrap_or(Route {
        database: String::new(),
        access: Access::Key,
        organisation: None,
    });
    let access = fields.access.unwrap_or(base.access);
    // Only open routes have an organisation, so a route that is no longer open loses it.
    let base_organisation = base.organisation.filter(|_| access == Access::Open);
    Route {
        database: fields.database.clone().unwrap_or(base.database),
        access,
        organisation: fields.organisation.clone().or(base_organisation),
    }
}
