//! What one host knows of another from its heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::heartbeat::Heartbeat;
use crate::heartbeat::Stop;
use crate::ids::HeartbeatId;
use crate::ids::Incarnation;
use crate::ids::Revision;

/// Own heartbeats whose echo may still arrive.
const SENT_MAX: usize = 16;
/// Former runs of the peer whose repeated heartbeats are recognised.
const PAST_MAX: usize = 8;

/// Last heartbeat of a peer and the vouch it gave.
#[derive(Debug, Default)]
pub struct SeatPeer {
    /// 0 until the peer was heard.
    pub incarnation: Incarnation,
    pub heard: Duration,
    pub vouch_until: Duration,
    pub table: Revision,
    pub confirmed: Revision,
    pub stops: Vec<Stop>,
    /// Heartbeat to answer with a vouch; each is answered once.
    pub echo: Option<HeartbeatId>,
    last: HeartbeatId,
    sent: BTreeMap<HeartbeatId, Duration>,
    past: Vec<(Incarnation, HeartbeatId)>,
}

impl SeatPeer {
    /// Takes a heartbeat; false if it is late or repeated.
    pub fn accept(&mut self, incarnation: Incarnation, beat: &Heartbeat, now: Duration) -> bool {
        if self.incarnation != incarnation {
            // A late heartbeat of an earlier run may come after the first of the present one, so
            // no run is refused for good; only its repeated heartbeats are.
            let mut past = std::mem::take(&mut self.past);
            past.push((self.incarnation, self.last));
            if past.len() > PAST_MAX {
                past.remove(0);
            }
            let last = past.iter().rfind(|(run, _)| *run == incarnation);
            *self = Self {
                incarnation,
                last: last.map_or(0, |(_, id)| *id),
                past,
                sent: std::mem::take(&mut self.sent),
                ..Self::default()
            };
        }
        if beat.id <= self.last {
            return false;
        }
        self.last = beat.id;
        self.heard = now;
        self.echo = Some(beat.id);
        self.table = beat.table;
        self.confirmed = beat.confirmed;
        self.stops.clone_from(&beat.stops);
        if let Some(sent) = beat.echo.and_then(|id| self.sent.get(&id)) {
            self.vouch_until = self.vouch_until.max(*sent + beat.vouch);
        }
        true
    }

    /// Whether the peer has promised not to vouch for a holder.
    pub fn has_stopped(&self, host: &str, incarnation: Incarnation) -> bool {
        let same = |s: &Stop| s.host == host && s.incarnation == incarnation;
        self.stops.iter().any(same)
    }

    /// Records when an own heartbeat was sent.
    pub fn on_sent(&mut self, id: HeartbeatId, now: Duration) {
        self.sent.insert(id, now);
        while self.sent.len() > SENT_MAX {
            self.sent.pop_first();
        }
    }
}
