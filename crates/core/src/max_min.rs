//! Max-min fair division.

use std::collections::BTreeMap;

use crate::ids::HostId;

/// Divides `capacity` so that no host gets more than it asks for and none can get more without
/// taking from one that has less.
pub fn divide(capacity: f64, demands: &BTreeMap<HostId, f64>) -> BTreeMap<HostId, f64> {
    let mut order: Vec<(&HostId, f64)> = demands.iter().map(|(h, d)| (h, *d)).collect();
    order.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut left = capacity;
    let mut count = order.len();
    let mut parts = BTreeMap::new();
    for (host, demand) in order {
        let equal = left / count as f64;
        let part = demand.min(equal);
        left -= part;
        count -= 1;
        parts.insert(host.clone(), part);
    }
    parts
}

/// The same in whole units; units that do not divide evenly go to the first hosts by name.
pub fn divide_whole(capacity: f64, demands: &BTreeMap<HostId, f64>) -> BTreeMap<HostId, f64> {
    let mut parts: BTreeMap<HostId, f64> = divide(capacity, demands)
        .into_iter()
        .map(|(host, part)| (host, part.floor()))
        .collect();
    let mut left = capacity.floor() - parts.values().sum::<f64>();
    while left >= 1.0 {
        let short = parts
            .iter_mut()
            .filter(|(host, part)| **part + 1.0 <= demands[*host])
            .min_by(|a, b| a.1.total_cmp(b.1));
        let Some((_, part)) = short else { break };
        *part += 1.0;
        left -= 1.0;
    }
    parts
}
