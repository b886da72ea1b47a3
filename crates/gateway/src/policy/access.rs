//! Decides whether a statement may still run under a newer configuration.

use magnoliahatch_core::ids::OrganisationId;

use crate::model::configuration::Configuration;
use crate::model::job::SessionKey;
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

/// Whether a statement that was allowed by the configuration of version `allowed_by` may be sent to a
/// member under a host's current one. The check of the client's host decides if that one is not newer.
pub fn may_send(
    current: &Configuration,
    allowed_by: u64,
    session: &SessionKey,
    access: &Access,
) -> bool {
    if current.version <= allowed_by {
        return true;
    }
    let SessionKey { database, key } = session;
    let Some(organisation) = current.organisation(database, key) else {
        return false;
    };
    let limit = current.regions.get(organisation).cloned();
    access.allows(&organisation.to_owned(), &limit.unwrap_or_default())
}
