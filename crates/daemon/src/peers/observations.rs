//! Task that provides the election of one database group with the observations of the peers.

use std::time::Duration;

use magnoliahatch_core::failure_detector::PeerReports;
use magnoliahatch_core::ids::DatabaseId;
use tokio::sync::watch;

use crate::peers::fleet::Fleet;

/// Longest time between two updates. Leases and expiry must be checked even if no peer reports.
const INTERVAL: Duration = Duration::from_millis(200);

/// Starts the task, which ends when the receiver is dropped.
pub fn spawn(fleet: Fleet, database: DatabaseId) -> watch::Receiver<PeerReports> {
    let (sender, receiver) = watch::channel(fleet.peers(&database));
    let mut reports = fleet.reports.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = sender.closed() => return,
                changed = tokio::time::timeout(INTERVAL, reports.changed()) => {
                    if let Ok(Err(_)) = changed {
                        // The mesh is closed, so no reports arrive; only the lease can change.
                        tokio::time::sleep(INTERVAL).await;
                    }
                }
            }
            let peers = fleet.peers(&database);
            sender.send_if_modified(|old| {
                let differs = *old != peers;
                *old = peers;
                differs
            });
        }
    });
    receiver
}
