//! Settings of a gateway, filled in by an adapter.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::HostId;

use crate::policy::bounds::Bounds;

/// What one gateway process needs to know.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentreId, String>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether this host takes new connections.
    pub readiness: SocketAddr,
    /// Where other hosts connect.
    pub mesh: SocketAddr,
    /// Where counters and histograms are served.
    pub metrics: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    pub bounds: Bounds,
}

impl Settings {
    /// These settings with the parts of `changed` that hold without a new start: the bounds on
    /// withdrawn keys and on a stop. The bound on the view of primaries must be equal on all hosts
    /// while any of them runs, so it stays as it was at the start.
    pub fn reloaded(&self, changed: &Self) -> Self {
        let mut settings = self.clone();
        settings.bounds.revocation = changed.bounds.revocation;
        settings.bounds.grace = changed.bounds.grace;
        settings
    }

    /// Region of a data centre; its own name if none is given.
    pub fn region<'a>(&'a self, data_centre: &'a str) -> &'a str {
        self.regions
            .get(data_centre)
            .map_or(data_centre, String::as_str)
    }
}
