//! Chooses the member for a read.

use std::time::Duration;

/// Cost of leaving the data centre, as time: bytes between data centres are priced, and the way
/// adds latency.
const OTHER_CENTRE: Duration = Duration::from_millis(40);
/// Cost of leaving the region.
const OTHER_REGION: Duration = Duration::from_millis(120);
/// Added for the primary, which alone can run writes.
const PRIMARY: Duration = Duration::from_millis(25);

/// Added for a member that is still slow after its start.
const COLD: Duration = Duration::from_millis(250);

/// How far a member is from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    Centre,
    Region,
    Far,
}

/// A member that may run the read.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    pub distance: Distance,
    pub primary: bool,
    pub cold: bool,
    /// Recent time from request to answer, without the way.
    pub latency: Duration,
    /// Requests of this host that are not answered yet.
    pub pending: u32,
}

impl Choice {
    /// Expected cost of sending one more read there.
    pub fn cost(&self) -> Duration {
        let way = match self.distance {
            Distance::Centre => Duration::ZERO,
            Distance::Region => OTHER_CENTRE,
            Distance::Far => OTHER_REGION,
        };
        let role = if self.primary {
            PRIMARY
        } else {
            Duration::ZERO
        };
        let start = if self.cold { COLD } else { Duration::ZERO };
        way + role + start + self.latency * (self.pending + 1)
    }
}

/// Index of the cheapest member.
pub fn choose(choices: &[Choice]) -> Option<usize> {
    (0..choices.len()).min_by_key(|&i| choices[i].cost())
}
