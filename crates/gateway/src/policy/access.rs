//! Decides whether an open transaction may go on under a newer configuration.

use magnoliahatch_core::ids::OrganisationId;

use crate::model::region_limit::RegionLimit;

/// For whom and where the statements of a transaction run. Both are fixed by its first statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Access {
    pub organisation: OrganisationId,
    /// Regions of the member, and of the host that the statements are forwarded to.
    pub regions: Vec<String>,
}

impl Access {
    /// Whether a statement may run now that its key belongs to `organisation`, whose statements may
    /// run within `limit`. A change of the route only applies from the next transaction on.
    pub fn allows(&self, organisation: &OrganisationId, limit: &RegionLimit) -> bool {
        self.organisation == *organisation && self.regions.iter().all(|r| limit.allows(r))
    }
}
