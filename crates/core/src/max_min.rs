//! Max-min fair division.

use std::collections::BTreeMap;

use crate::ids::HostId;

/// Divides `capacity` max-min fairly: no host gets more than its demand, and no allocation can grow
/// without reducing one that is as small or smaller.
pub fn divide(capacity: f64, demands: &BTreeMap<HostId, f64>) -> BTreeMap<HostId, f64> {
    let mut sorted: Vec<(&HostId, f64)> = demands.iter().map(|(h, d)| (h, *d)).collect();
    sorted.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut remaining = capacity;
    let mut count = sorted.len();
    let mut allocations = BTreeMap::new();
    for (host, demand) in sorted {
        let fair_share = remaining / count as f64;
        let share = demand.min(fair_share);
        remaining -= share;
        count -= 1;
        allocations.insert(host.clone(), share);
    }
    allocations
}

/// Like `divide`, but in whole units. Units left over by rounding go to the first hosts by name.
pub fn divide_whole(capacity: f64, demands: &BTreeMap<HostId, f64>) -> BTreeMap<HostId, f64> {
    let mut allocations: BTreeMap<HostId, f64> = divide(capacity, demands)
        .into_iter()
        .map(|(host, share)| (host, share.floor()))
        .collect();
    let mut remaining = capacity.floor() - allocations.values().sum::<f64>();
    while remaining >= 1.0 {
        let least = allocations
            .iter_mut()
            .filter(|(host, share)| **share + 1.0 <= demands[*host])
            .min_by(|a, b| a.1.total_cmp(b.1));
        let Some((_, share)) = least else { break };
        *share += 1.0;
        remaining -= 1.0;
    }
    allocations
}
