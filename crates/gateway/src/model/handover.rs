//! Tokens that move with the ownership of a rate.

use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

/// Tokens of an organisation's rate that its former owner has not granted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    pub organisation: OrganisationId,
    pub tokens: f64,
}
