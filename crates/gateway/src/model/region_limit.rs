//! Regions in which data may be processed.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// Regions to which a route or an organisation is limited. An empty set means no limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLimit(BTreeSet<String>);

impl RegionLimit {
    pub fn allows(&self, region: &str) -> bool {
        self.0.is_empty() || self.0.contains(region)
    }
}

impl FromIterator<String> for RegionLimit {
    fn from_iter<I: IntoIterator<Item = String>>(regions: I) -> Self {
        Self(regions.into_iter().collect())
    }
}
