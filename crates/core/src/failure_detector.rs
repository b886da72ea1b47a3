//! Decides whether a database group needs a new primary.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::group_view::GroupView;
use crate::ids::DatabaseId;
use crate::ids::HostId;
use crate::ids::Term;

/// One daemon's observation of a group's primary. Daemons exchange these with their heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrimaryObservation {
    /// Highest term that any member has reported to the daemon.
    pub term: Term,
    /// Whether the daemon can reach a member that serves as primary in that term.
    pub reachable: bool,
}

/// Observation of a peer and the time at which it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerObservation {
    pub observation: PrimaryObservation,
    pub expires: Duration,
}

/// Reports of a daemon's peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerReports {
    /// Whether a majority of the hosts with a seat confirms that it can reach this daemon.
    pub has_lease: bool,
    /// Number of live peers, including those that do not probe this group.
    pub live: usize,
    pub observations: BTreeMap<HostId, PeerObservation>,
}

/// Times after which the primary counts as failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DetectionTimeouts {
    /// Time for which the primary must be unreachable without interruption. It tolerates a single
    /// broken connection, which the next probe replaces.
    pub grace_period: Duration,
    /// Age of the latest answer above which the primary counts as unreachable, even if the view
    /// says that it is reachable. This detects probes that hang.
    pub answer_timeout: Duration,
}

impl Default for DetectionTimeouts {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_millis(300),
            answer_timeout: Duration::from_millis(700),
        }
    }
}

/// Decides whether one database group needs a new primary.
#[derive(Debug)]
pub struct FailureDetector {
    patience: DetectionTimeouts,
    /// Time since which no primary has been reachable.
    unreachable_since: Option<Duration>,
    /// Highest term of any view so far.
    term: Term,
    observation: Option<PrimaryObservation>,
}

impl FailureDetector {
    pub fn new(patience: DetectionTimeouts) -> Self {
        Self {
            patience,
            unreachable_since: None,
            term: 0,
            observation: None,
        }
    }

    /// This daemon's own observation; `None` until a member has answered.
    pub fn observation(&self) -> Option<PrimaryObservation> {
        self.observation
    }

    /// Handles the newest view. Must be called on each change, and at least a few times per second.
    pub fn on_view(&mut self, view: &GroupView, now: Duration) {
        let primary = view.primary.as_ref().and_then(|id| view.members.get(id));
        let unreachable_from = match primary {
            Some(member) if member.reachable => {
                let last = member.observed_at + self.patience.answer_timeout;
                (now > last).then_some(last)
            }
            _ => Some(now),
        };
        if view.term > self.term {
            // The grace period restarts, so that the new term's primary has time to appear.
            self.term = view.term;
            self.unreachable_since = None;
        }
        self.unreachable_since = unreachable_from
            .map(|unreachable_from| self.unreachable_since.unwrap_or(unreachable_from));
        // Without an answer from any member, there is no observation to compare with the peers'.
        let any_answer = view.term > 0 || view.members.values().any(|member| member.reachable);
        let grace_elapsed = |since: Duration| now >= since + self.patience.grace_period;
        self.observation = any_answer.then(|| PrimaryObservation {
            term: view.term,
            reachable: !self.unreachable_since.is_some_and(grace_elapsed),
        });
    }

    /// Whether the group needs a new primary: this daemon cannot reach one, nor can more than half
    /// of all daemons that observe the group, this one included. If any other daemon is alive, at
    /// least one must agree, since the fault may be in this daemon's own network.
    pub fn needs_primary(&self, peers: &PeerReports, now: Duration) -> bool {
        let Some(own) = self
            .observation
            .filter(|own| !own.reachable && peers.has_lease)
        else {
            return false;
        };
        let mut unreachable_votes = 1;
        let mut votes = 1;
        for peer in peers
            .observations
            .values()
            .filter(|peer| peer.expires > now)
        {
            let other = peer.observation;
            if other.term > own.term {
                // This daemon's view is outdated, and the group may have a newer primary.
                return false;
            }
            if other.reachable && other.term < own.term {
                // The peer only reaches the primary of a term that has ended, so its vote does not
                // count.
                continue;
            }
            votes += 1;
            unreachable_votes += usize::from(!other.reachable);
        }
        unreachable_votes * 2 > votes && unreachable_votes >= 2.min(1 + peers.live)
    }

    /// Rank of a host among the daemons that cannot reach a primary. They start elections in this
    /// order, so that their attempts do not block each other.
    pub fn candidate_rank(
        &self,
        host: &HostId,
        database: &DatabaseId,
        peers: &PeerReports,
        now: Duration,
    ) -> usize {
        let cannot_reach =
            |peer: &&PeerObservation| peer.expires > now && !peer.observation.reachable;
        let own = rank_hash(host, database);
        let hosts = peers
            .observations
            .iter()
            .filter(|(_, peer)| cannot_reach(peer));
        hosts
            .filter(|(other, _)| (rank_hash(other, database), *other) < (own, host))
            .count()
    }
}

/// FNV-1a hash, for which all daemons compute the same value.
fn rank_hash(host: &HostId, database: &DatabaseId) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = database.bytes().chain([0]).chain(host.bytes());
    bytes.fold(BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
