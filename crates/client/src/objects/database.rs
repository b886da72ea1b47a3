//! A database group: a primary and its replicas.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::member::Member;

/// A database group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Database {
    pub members: Vec<Member>,
    /// Connections to one member over all hosts.
    pub connections: u32,
    /// Statements that one member executes at once.
    pub slots: u32,
    /// Statements per second that one member can serve. When every database states it, contracts
    /// whose rates exceed the total are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member_rate: Option<f64>,
}
