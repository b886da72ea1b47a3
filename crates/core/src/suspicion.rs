//! Decides whether a database group needs a new primary.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::group_view::GroupView;
use crate::ids::DatabaseId;
use crate::ids::HostId;
use crate::ids::Term;

/// What one daemon thinks of a group's primary. Daemons exchange opinions with their heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opinion {
    /// Highest term that the daemon has heard of any member.
    pub term: Term,
    /// Whether the daemon reaches a member that serves as primary in that term.
    pub reachable: bool,
}

/// An opinion and when it ceases to count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerOpinion {
    pub opinion: Opinion,
    pub expires: Duration,
}

/// What the peers of a daemon report.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Peers {
    /// Whether a majority of the seated hosts vouches for this daemon.
    pub vouched: bool,
    /// Number of live peers, whether or not they probe this group.
    pub live: usize,
    pub opinions: BTreeMap<HostId, PeerOpinion>,
}

/// How long a fault must last before it counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// Time for which the primary must be unreachable without interruption. It bridges one
    /// broken connection, which the next probe replaces.
    pub grace: Duration,
    /// Age of the last answer after which the primary counts as unreachable, whatever the view
    /// says. It covers a probe that hangs.
    pub silence: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            grace: Duration::from_millis(300),
            silence: Duration::from_millis(700),
        }
    }
}

/// Decides whether one database group needs a new primary.
#[derive(Debug)]
pub struct Suspicion {
    patience: Patience,
    /// Since when no primary has been reached.
    since: Option<Duration>,
    /// Term of the newest view.
    term: Term,
    opinion: Option<Opinion>,
}

impl Suspicion {
    pub fn new(patience: Patience) -> Self {
        Self {
            patience,
            since: None,
            term: 0,
            opinion: None,
        }
    }

    /// This daemon's own opinion; none until it has heard of a member.
    pub fn opinion(&self) -> Option<Opinion> {
        self.opinion
    }

    /// Takes the newest view. To be called on each change and at least a few times per second.
    pub fn on_view(&mut self, view: &GroupView, now: Duration) {
        let primary = view.primary.as_ref().and_then(|id| view.members.get(id));
        let lost = match primary {
            Some(member) if member.reachable => {
                let last = member.heard + self.patience.silence;
                (now > last).then_some(last)
            }
            _ => Some(now),
        };
        if view.term > self.term {
            // A new term's primary is given its own time to appear.
            self.term = view.term;
            self.since = None;
        }
        self.since = lost.map(|lost| self.since.unwrap_or(lost));
        // Without any answer from any member there is nothing to compare with the peers.
        let heard = view.term > 0 || view.members.values().any(|member| member.reachable);
        let gone = |since: Duration| now >= since + self.patience.grace;
        self.opinion = heard.then(|| Opinion {
            term: view.term,
            reachable: !self.since.is_some_and(gone),
        });
    }

    /// Whether the group needs a new primary: this daemon and more than half of the daemons with
    /// an opinion reach none. While other daemons live, at least one of them must agree: the
    /// fault may lie on this daemon's side.
    pub fn needs_primary(&self, peers: &Peers, now: Duration) -> bool {
        let Some(own) = self.opinion.filter(|own| !own.reachable && peers.vouched) else {
            return false;
        };
        let mut against = 1;
        let mut total = 1;
        for peer in peers.opinions.values().filter(|peer| peer.expires > now) {
            let other = peer.opinion;
            if other.term > own.term {
                // This daemon's view is outdated: the group may have a newer primary.
                return false;
            }
            if other.reachable && other.term < own.term {
                // The peer reaches a primary whose term has ended.
                continue;
            }
            total += 1;
            against += usize::from(!other.reachable);
        }
        against * 2 > total && against >= 2.min(1 + peers.live)
    }

    /// Position of a host among the daemons that reach no primary. They take turns in starting
    /// an election by it, so that they do not stop each other.
    pub fn turn(
        &self,
        host: &HostId,
        database: &DatabaseId,
        peers: &Peers,
        now: Duration,
    ) -> usize {
        let against = |peer: &&PeerOpinion| peer.expires > now && !peer.opinion.reachable;
        let own = weight(host, database);
        let hosts = peers.opinions.iter().filter(|(_, peer)| against(peer));
        hosts
            .filter(|(other, _)| (weight(other, database), *other) < (own, host))
            .count()
    }
}

/// FNV-1a hash, which all daemons compute alike.
fn weight(host: &HostId, database: &DatabaseId) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = database.bytes().chain([0]).chain(host.bytes());
    bytes.fold(BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
