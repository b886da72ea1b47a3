//! HTTP endpoints of the administration API.

mod contracts;
mod databases;
mod fleet;
mod keys;
mod paths;
mod placements;
mod routes;
mod secrets;

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use semver::Version;

use crate::admin::context::Admin;

/// Registers all endpoints.
pub fn description() -> Result<ApiDescription<Admin>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    contracts::register(&mut api)?;
    keys::register(&mut api)?;
    routes::register(&mut api)?;
    databases::register(&mut api)?;
    placements::register(&mut api)?;
    secrets::register(&mut api)?;
    fleet::register(&mut api)?;
    Ok(api)
}

/// The API's OpenAPI document; docs/openapi.json holds a copy.
pub fn document() -> Result<serde_json::Value, ApiDescriptionRegisterError> {
    let version = Version::new(1, 0, 0);
    let api = description()?;
    let document = api.openapi("magnoliahatch administration", version).json();
    // The document has only string keys, so encoding cannot fail.
    Ok(document.unwrap_or_default())
}
