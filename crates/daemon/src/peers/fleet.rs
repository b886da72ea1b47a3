//! What every database group needs to know of this host and its peers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::rendezvous;
use magnoliahatch_core::suspicion::PeerOpinion;
use magnoliahatch_core::suspicion::Peers;
use tokio::sync::watch;

use crate::drains::Drains;
use crate::limits::Limits;
use crate::mesh::Reports;
use crate::mesh::peer_report::PeerReport;
use crate::switchover::orders::Orders;

/// Age after which a peer's announcement no longer counts: three heartbeats and some delay.
const OPINION_AGE: Duration = Duration::from_millis(3500);

/// This host and its peers.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub host: HostId,
    pub incarnation: Incarnation,
    /// Origin of the times in views and opinions.
    pub start: Instant,
    pub limits: Limits,
    pub reports: watch::Receiver<Reports>,
    pub config: watch::Receiver<Arc<ConfigView>>,
    pub region: String,
    /// Planned changes of primary that this daemon has ordered.
    pub orders: Orders,
    pub drains: Drains,
}

impl Fleet {
    /// Whether a report of a peer is recent enough to count.
    pub fn is_live(report: &PeerReport) -> bool {
        report.heard.elapsed() < OPINION_AGE
    }

    /// Whether this host is the one to order planned changes of a database's primary: rendezvous
    /// hashing over the hosts that live and stay.
    pub fn orders_changes(&self, database: &DatabaseId) -> bool {
        let reports = self.reports.borrow();
        let stays = |r: &PeerReport| Self::is_live(r) && !r.announcement.draining;
        let peers = reports.iter().filter(|(_, report)| stays(report));
        let hosts = peers.map(|(host, _)| host.as_str());
        let duty = format!("switchover/{database}");
        rendezvous::owner(&duty, hosts.chain([self.host.as_str()])) == Some(&self.host)
    }

    /// Region of a data centre, as far as a host is there.
    pub fn region(&self, data_centre: &DataCentreId) -> Option<String> {
        let view = self.config.borrow();
        let reports = self.reports.borrow();
        let hosts = view.hosts.iter();
        let mut there = hosts.filter(|(_, status)| status.data_centre == *data_centre);
        there.find_map(|(host, _)| match reports.get(host) {
            Some(report) => Some(report.announcement.region.clone()),
            None => (*host == self.host).then(|| self.region.clone()),
        })
    }

    /// What the peers report of one database group.
    pub fn peers(&self, database: &DatabaseId) -> Peers {
        let reports = self.reports.borrow();
        let live = reports
            .values()
            .filter(|report| report.heard.elapsed() < OPINION_AGE);
        let opinions = reports.iter().filter_map(|(host, report)| {
            let opinion = *report.announcement.opinions.get(database)?;
            let expires = report.heard.duration_since(self.start) + OPINION_AGE;
            Some((host.clone(), PeerOpinion { opinion, expires }))
        });
        let (vouched, _) = self.limits.seat();
        Peers {
            vouched,
            live: live.count(),
            opinions: opinions.collect(),
        }
    }
}
