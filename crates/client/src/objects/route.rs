//! A route: the name by which callers reach a database.

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::OrganisationId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::access::Access;

/// A route: the name by which callers reach a database.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub database: DatabaseId,
    pub access: Access,
    /// Organisation under which an open route runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
}
