//! State of a peer as known from its heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::heartbeat::Heartbeat;
use crate::heartbeat::LeaseRefusal;
use crate::ids::HeartbeatId;
use crate::ids::Incarnation;
use crate::ids::Revision;

/// Maximum number of sent heartbeats that may still be answered.
const MAX_SENT: usize = 16;
/// Maximum number of earlier runs of the peer whose duplicate heartbeats are recognised.
const MAX_PAST_RUNS: usize = 8;

/// Latest heartbeat of a peer and the lease it granted.
#[derive(Debug, Default)]
pub struct SeatPeer {
    /// 0 until the first heartbeat.
    pub incarnation: Incarnation,
    pub last_heard: Duration,
    pub lease_until: Duration,
    pub table_version: Revision,
    pub confirmed_version: Revision,
    pub refusals: Vec<LeaseRefusal>,
    /// Heartbeat to answer with a lease. Each heartbeat is answered once.
    pub unanswered: Option<HeartbeatId>,
    last_id: HeartbeatId,
    sent_at: BTreeMap<HeartbeatId, Duration>,
    past_runs: Vec<(Incarnation, HeartbeatId)>,
}

impl SeatPeer {
    /// Processes a heartbeat. Returns false for one that is outdated or a duplicate.
    pub fn accept(
        &mut self,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
        now: Duration,
    ) -> bool {
        if self.incarnation != incarnation {
            // A delayed heartbeat of an earlier run may arrive after the first one of the current
            // run. A change of run is therefore always accepted, and the last number of each run
            // is kept to reject duplicates.
            let mut past_runs = std::mem::take(&mut self.past_runs);
            past_runs.push((self.incarnation, self.last_id));
            if past_runs.len() > MAX_PAST_RUNS {
                past_runs.remove(0);
            }
            let last = past_runs.iter().rfind(|(run, _)| *run == incarnation);
            *self = Self {
                incarnation,
                last_id: last.map_or(0, |(_, id)| *id),
                past_runs,
                sent_at: std::mem::take(&mut self.sent_at),
                ..Self::default()
            };
        }
        if heartbeat.id <= self.last_id {
            return false;
        }
        self.last_id = heartbeat.id;
        self.last_heard = now;
        self.unanswered = Some(heartbeat.id);
        self.table_version = heartbeat.table_version;
        self.confirmed_version = heartbeat.confirmed_version;
        self.refusals.clone_from(&heartbeat.refusals);
        if let Some(sent) = heartbeat.echo.and_then(|id| self.sent_at.get(&id)) {
            self.lease_until = self.lease_until.max(*sent + heartbeat.lease);
        }
        true
    }

    /// Whether the peer has promised not to grant a lease to this holder.
    pub fn refuses_lease(&self, host: &str, incarnation: Incarnation) -> bool {
        let same = |s: &LeaseRefusal| s.host == host && s.incarnation == incarnation;
        self.refusals.iter().any(same)
    }

    /// Records when a heartbeat was sent to the peer.
    pub fn on_sent(&mut self, id: HeartbeatId, now: Duration) {
        self.sent_at.insert(id, now);
        while self.sent_at.len() > MAX_SENT {
            self.sent_at.pop_first();
        }
    }
}
