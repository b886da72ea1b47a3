//! Keeps the peers' opinions of one database group current for its election.

use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::suspicion::Peers;
use tokio::sync::watch;

use crate::peers::fleet::Fleet;

/// Interval at which vouches and expiry are looked at although no peer was heard.
const INTERVAL: Duration = Duration::from_millis(200);

/// Starts the task; it ends when the receiver is dropped.
pub fn spawn(fleet: Fleet, database: DatabaseId) -> watch::Receiver<Peers> {
    let (sender, receiver) = watch::channel(fleet.peers(&database));
    let mut reports = fleet.reports.clone();
    tokio::spawn(async move {
        loop {
            tokio::select! {
                () = sender.closed() => return,
                changed = tokio::time::timeout(INTERVAL, reports.changed()) => {
                    if let Ok(Err(_)) = changed {
                        // Without peers nothing is reported; only the vouch changes.
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
