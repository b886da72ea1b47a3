//! Chooses the hosts that carry tasks for others.
//!
//! In a fleet of small and large hosts only the large ones do: a task then rarely waits for a slow
//! processor or link, and each host talks to a few others instead of to all.

use crate::policy::homes::Candidate;

/// A host takes tasks if it has at least this fraction of the capacity of the largest one.
const MIN_CAPACITY_FRACTION: f64 = 0.5;

/// Returns the hosts that are large enough to take tasks for the others.
pub fn largest<'a>(
    hosts: impl Iterator<Item = &'a Candidate> + Clone,
) -> impl Iterator<Item = &'a Candidate> + Clone {
    let capacities = hosts.clone().map(|h| h.capacity);
    let required = f64::from(capacities.max().unwrap_or_default()) * MIN_CAPACITY_FRACTION;
    hosts.filter(move |h| f64::from(h.capacity) >= required)
}
