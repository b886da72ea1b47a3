//! Path and query parameters.

use magnoliahatch_client::admin::subject::Subject;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::KeyId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::RouteId;
use schemars::JsonSchema;
use serde::Deserialize;

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct ContractPath {
    pub(super) organisation: OrganisationId,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct KeyPath {
    pub(super) organisation: OrganisationId,
    pub(super) id: KeyId,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct RoutePath {
    pub(super) name: RouteId,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct DatabasePath {
    pub(super) name: DatabaseId,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct PlacementPath {
    pub(super) subject: Subject,
    pub(super) name: String,
}

impl PlacementPath {
    /// Name of the placement object.
    pub(super) fn object_name(&self) -> String {
        format!("{}/{}", self.subject, self.name)
    }
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct Condition {
    /// Version that the change replaces; 0 creates.
    pub(super) if_version: Revision,
}

#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct OptionalCondition {
    /// Version that the change replaces; without it, the current one.
    pub(super) if_version: Option<Revision>,
}
