//! What every database group needs to know of this host and its peers.

use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::suspicion::PeerOpinion;
use magnoliahatch_core::suspicion::Peers;
use tokio::sync::watch;

use crate::limits::Limits;
use crate::mesh::Reports;

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
}

impl Fleet {
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
