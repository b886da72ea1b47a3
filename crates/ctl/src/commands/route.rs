//! Commands on routes.

use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::access::Access;
use magnoliahatch_client::objects::route::Route;

use crate::commands::Area;
use crate::commands::optional;
use crate::error::CtlError;
use crate::report::Report;
use crate::request::RouteFields;
use crate::request::Verb;

const AREA: Area<RouteFields, Route, Route> = Area {
    path: "/routes",
    header: &["ROUTE", "VERSION", "DATABASE", "ACCESS", "ORGANISATION"],
    row,
    body,
};

pub(super) async fn run(
    client: &AdminClient,
    verb: &Verb<RouteFields>,
) -> Result<Report, CtlError> {
    AREA.run(client, verb).await
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
        optional(found.value.organisation.as_ref()),
    ]
}

fn body(fields: &RouteFields, found: Option<Route>) -> Route {
    let base = found.unwrap_or(Route {
        database: String::new(),
        access: Access::Key,
        organisation: None,
    });
    let access = fields.access.unwrap_or(base.access);
    // A route that is no longer open loses its organisation, which only open routes have.
    let kept = base.organisation.filter(|_| access == Access::Open);
    Route {
        database: fields.database.clone().unwrap_or(base.database),
        access,
        organisation: fields.organisation.clone().or(kept),
    }
}
