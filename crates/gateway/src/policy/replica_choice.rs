//! Chooses the member that runs a read.

use std::time::Duration;

use crate::model::member_load::MemberLoad;

/// Cost of a member in another data centre, expressed as time: traffic between data centres is
/// charged for, and the distance adds latency.
const OTHER_DATA_CENTRE_COST: Duration = Duration::from_millis(40);
/// Cost of a member in another region.
const OTHER_REGION_COST: Duration = Duration::from_millis(120);
/// Added for the primary, since only it can run writes.
const PRIMARY_COST: Duration = Duration::from_millis(25);

/// Added for a cold member, which is still slow after its start.
const COLD_COST: Duration = Duration::from_millis(250);
/// Added for a member whose window is still opening while another has room. Above
/// `OTHER_DATA_CENTRE_COST`, so that one in another data centre is used meanwhile.
const OPENING_COST: Duration = Duration::from_millis(50);
/// One read in this many does not avoid such a member, since its window opens by answers only.
const OPENING_SHARE: u64 = 8;

/// Distance between a member and this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// What a member's home reported less than a second ago.
#[derive(Debug, Clone, Copy)]
pub struct HomeReport {
    pub load: MemberLoad,
    /// Requests that this host has sent to the member since, and that are not answered yet.
    pub sent_since: u32,
}

impl HomeReport {
    fn ahead(&self) -> u32 {
        self.load.accepted() + self.sent_since
    }

    /// Whether the home would send one more statement to the member at once.
    fn has_room(&self) -> bool {
        self.ahead() < u32::from(self.load.window)
    }

    /// Expected wait and service time of one more read, if the home knows that of a read. Statements
    /// beyond the slots wait, at the member or at its home.
    fn response(&self, slots: u32) -> Option<Duration> {
        let parallel = slots.min(u32::from(self.load.window)).max(1);
        let rounds = f64::from(self.ahead() + 1) / f64::from(parallel);
        Some(self.load.read?.mul_f64(rounds.max(1.0)))
    }
}

/// A member that may run the read.
#[derive(Debug, Clone, Copy)]
pub struct ReadCandidate {
    pub distance: Distance,
    pub primary: bool,
    pub cold: bool,
    pub slots: u32,
    /// Recent time from request to answer, without the network latency.
    pub latency: Duration,
    /// Requests of this host to the member that are not answered yet.
    pub pending: u32,
    /// Raises the expected response time if the home expects a longer one.
    pub report: Option<HomeReport>,
}

impl ReadCandidate {
    /// Expected cost of sending one more read to the member.
    pub fn cost(&self) -> Duration {
        let distance = match self.distance {
            Distance::SameDataCentre => Duration::ZERO,
            Distance::SameRegion => OTHER_DATA_CENTRE_COST,
            Distance::OtherRegion => OTHER_REGION_COST,
        };
        let primary = if self.primary {
            PRIMARY_COST
        } else {
            Duration::ZERO
        };
        let cold = if self.cold { COLD_COST } else { Duration::ZERO };
        distance + primary + cold + self.response()
    }

    /// The larger of the host's own expectation and the home's: the home sees the queue of all hosts, and
    /// only this host sees how busy the home and the path to it are. With the home's alone, hosts that
    /// saw the same report chose the same member.
    fn response(&self) -> Duration {
        let own = self.latency * (self.pending + 1);
        let reported = self.report.and_then(|r| r.response(self.slots));
        reported.map_or(own, |reported| reported.max(own))
    }

    fn is_opening(&self) -> bool {
        self.report.is_some_and(|r| r.load.opening)
    }

    /// Whether the member is not opening and, as far as is known, has room for a read.
    fn has_room(&self) -> bool {
        !self.is_opening() && self.report.is_none_or(|r| r.has_room())
    }
}

/// Returns the index of the member with the lowest cost. `spread`, a hash of the request, decides which
/// reads do not avoid opening members.
pub fn choose(choices: &[ReadCandidate], spread: u64) -> Option<usize> {
    let others_have_room = choices.iter().any(ReadCandidate::has_room);
    let avoids_opening = others_have_room && !spread.is_multiple_of(OPENING_SHARE);
    let cost = |choice: &ReadCandidate| {
        let opening = avoids_opening && choice.is_opening();
        choice.cost()
            + if opening {
                OPENING_COST
            } else {
                Duration::ZERO
            }
    };
    (0..choices.len()).min_by_key(|&i| cost(&choices[i]))
}
