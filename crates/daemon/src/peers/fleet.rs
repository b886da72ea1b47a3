//! Handles and information on this host and its peers that all database groups share.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::failure_detector::PeerObservation;
use magnoliahatch_core::failure_detector::PeerReports;
use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::rendezvous;
use tokio::sync::watch;

use crate::drains::DrainTracker;
use crate::limits::Limits;
use crate::mesh::Reports;
use crate::mesh::peer_report::PeerReport;
use crate::switchover::orders::SwitchoverOrders;

/// Age after which the announcement of a peer no longer counts: three heartbeats and some delay.
const MAX_OBSERVATION_AGE: Duration = Duration::from_millis(3500);

/// This host, its peers and the handles that database groups share.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub host: HostId,
    pub incarnation: Incarnation,
    /// Instant from which the times in views and observations are measured.
    pub start: Instant,
    pub limits: Limits,
    pub reports: watch::Receiver<Reports>,
    pub config: watch::Receiver<Arc<ConfigView>>,
    pub region: String,
    /// Switchovers that this daemon is executing.
    pub orders: SwitchoverOrders,
    pub drains: DrainTracker,
}

impl Fleet {
    /// Whether a report of a peer is recent enough to count.
    pub fn is_live(report: &PeerReport) -> bool {
        report.received_at.elapsed() < MAX_OBSERVATION_AGE
    }

    /// Whether this host is responsible for switchovers of a database, by rendezvous hashing over
    /// the hosts that are alive and not draining.
    pub fn is_switchover_owner(&self, database: &DatabaseId) -> bool {
        let reports = self.reports.borrow();
        let eligible = |r: &PeerReport| Self::is_live(r) && !r.announcement.draining;
        let peers = reports.iter().filter(|(_, report)| eligible(report));
        let hosts = peers.map(|(host, _)| host.as_str());
        let key = format!("switchover/{database}");
        rendezvous::owner(&key, hosts.chain([self.host.as_str()])) == Some(&self.host)
    }

    /// Region of a data centre; none if no known host is in it.
    pub fn region(&self, data_centre: &DataCentreId) -> Option<String> {
        let view = self.config.borrow();
        let reports = self.reports.borrow();
        let hosts = view.hosts.iter();
        let mut local = hosts.filter(|(_, status)| status.data_centre == *data_centre);
        local.find_map(|(host, _)| match reports.get(host) {
            Some(report) => Some(report.announcement.region.clone()),
            None => (*host == self.host).then(|| self.region.clone()),
        })
    }

    /// Collects the reports of the peers on one database group.
    pub fn peers(&self, database: &DatabaseId) -> PeerReports {
        let reports = self.reports.borrow();
        let live = reports
            .values()
            .filter(|report| report.received_at.elapsed() < MAX_OBSERVATION_AGE);
        let observations = reports.iter().filter_map(|(host, report)| {
            let observation = *report.announcement.observations.get(database)?;
            let expires = report.received_at.duration_since(self.start) + MAX_OBSERVATION_AGE;
            Some((
                host.clone(),
                PeerObservation {
                    observation,
                    expires,
                },
            ))
        });
        let (has_lease, _) = self.limits.seat();
        PeerReports {
            has_lease,
            live: live.count(),
            observations: observations.collect(),
        }
    }
}
