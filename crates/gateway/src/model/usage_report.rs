//! The usage report of one window.

use std::collections::BTreeMap;

use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

/// Number of a window. Window k begins k window lengths after the Unix epoch.
pub type WindowIndex = u64;

/// Number of statements that each organisation ran in a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    pub window: WindowIndex,
    pub counts: BTreeMap<OrganisationId, u64>,
}
