//! Chooses the member that runs a read.

use std::time::Duration;

/// Cost of a member in another data centre, expressed as time: traffic between data centres is
/// charged for, and the distance adds latency.
const OTHER_DATA_CENTRE_COST: Duration = Duration::from_millis(40);
/// Cost of a member in another region.
const OTHER_REGION_COST: Duration = Duration::from_millis(120);
/// Added for the primary, since only it can run writes.
const PRIMARY_COST: Duration = Duration::from_millis(25);

/// Added for a cold member, which is still slow after its start.
const COLD_COST: Duration = Duration::from_millis(250);

/// Distance between a member and this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// A member that may run the read.
#[derive(Debug, Clone, Copy)]
pub struct ReadCandidate {
    pub distance: Distance,
    pub primary: bool,
    pub cold: bool,
    /// Recent time from request to answer, without the network latency.
    pub latency: Duration,
    /// Requests of this host to the member that are not answered yet.
    pub pending: u32,
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
        distance + primary + cold + self.latency * (self.pending + 1)
    }
}

/// Returns the index of the member with the lowest cost.
pub fn choose(choices: &[ReadCandidate]) -> Option<usize> {
    (0..choices.len()).min_by_key(|&i| choices[i].cost())
}
