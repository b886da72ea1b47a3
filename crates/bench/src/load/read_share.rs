//! Fraction of reads that replicas served, from the members' own counters.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;
use serde::Serialize;
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::harness::fleet::Fleet;
use crate::harness::members;
use crate::load::statement;

/// Interval at which the members' counters are polled. Reads that a member counted between its
/// last poll and being killed are lost.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Reads of the load's table, by the role of the member that served them.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ReadShare {
    pub primaries: u64,
    pub replicas: u64,
    /// Reads by replicas as a fraction of all reads; 0 if there were none.
    pub share: f64,
}

impl ReadShare {
    fn with_share(mut self) -> Self {
        let all = self.primaries + self.replicas;
        self.share = if all == 0 {
            0.0
        } else {
            self.replicas as f64 / all as f64
        };
        self
    }
}

/// Counts reads until the sender of `stop` is dropped, then polls once more.
pub async fn count_reads(
    fleet: Arc<Mutex<Fleet>>,
    mut stop: tokio::sync::oneshot::Receiver<()>,
) -> ReadShare {
    let mut share = ReadShare::default();
    let mut last: BTreeMap<MemberId, u64> = BTreeMap::new();
    loop {
        let stopped = tokio::select! {
            () = sleep(POLL_INTERVAL) => false,
            _ = &mut stop => true,
        };
        let members: Vec<_> = {
            let fleet = fleet.lock().await;
            let databases = fleet.plan().databases.iter();
            let names = databases.flat_map(|database| &database.members);
            names
                .filter_map(|m| Some((m.name.clone(), fleet.member(&m.name).ok()?)))
                .collect()
        };
        for (name, sql) in members {
            let (Some(status), Some(recording)) =
                (members::status(sql).await, members::recording(sql).await)
            else {
                continue;
            };
            let reads = recording.reads.get(statement::TABLE).copied().unwrap_or(0);
            let before = last.insert(name, reads).unwrap_or(0);
            // A restarted member counts from 0 again.
            let new = reads.checked_sub(before).unwrap_or(reads);
            if status.role == "primary" {
                share.primaries += new;
            } else {
                share.replicas += new;
            }
        }
        if stopped {
            return share.with_share();
        }
    }
}
