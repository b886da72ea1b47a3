//! A member (back end) of a database group.

use std::net::SocketAddr;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::MemberId;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// A member of a database group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub name: MemberId,
    /// Where daemons reach the member.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Where other members reach it, if that is another address.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub peer_address: Option<SocketAddr>,
    pub data_centre: DataCentreId,
}
