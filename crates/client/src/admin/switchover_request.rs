//! Body of a request to replace a database's primary.

use magnoliahatch_core::ids::MemberId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Without a member, the election chooses one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, expecting = "struct SwitchoverOrder")]
#[schemars(rename = "SwitchoverOrder")]
pub struct SwitchoverRequest {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<MemberId>,
}
