//! Settings of a gateway, provided by an adapter.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::HostId;

use crate::policy::bounds::Bounds;
use crate::policy::client_limits::ClientLimits;
use crate::policy::usage_settings::UsageSettings;

/// Settings of one gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub host: HostId,
    pub data_centre: DataCentreId,
    /// Processor time that this host may use, in thousandths of a core.
    pub capacity: u32,
    /// Region of each data centre.
    pub regions: BTreeMap<DataCentreId, String>,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address on which the load balancer checks whether this host takes new connections.
    pub readiness: SocketAddr,
    /// Address on which other hosts connect.
    pub mesh: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
    /// Whether the whole system starts for the first time, as opposed to a restart.
    pub first_start: bool,
    pub bounds: Bounds,
    /// `None` if the deployment asks for no usage reports.
    pub usage: Option<UsageSettings>,
    pub clients: ClientLimits,
}

impl Settings {
    /// Returns these settings with the parts of `changed` that take effect without a restart: the
    /// bounds on withdrawn keys and on the grace period. The bound on the age of the view of
    /// primaries must be equal on all hosts while any of them runs, so it stays as it was at start.
    pub fn reloaded(&self, changed: &Self) -> Self {
        let mut settings = self.clone();
        settings.bounds.revocation = changed.bounds.revocation;
        settings.bounds.grace = changed.bounds.grace;
        settings
    }

    /// Region of a data centre, or the data centre's own name if it has none.
    pub fn region<'a>(&'a self, data_centre: &'a str) -> &'a str {
        self.regions
            .get(data_centre)
            .map_or(data_centre, String::as_str)
    }
}
