//! Tokens of an organisation's rate that a host was granted and has not used yet.

use std::collections::BTreeMap;
use std::time::Duration;

/// Unused tokens of one organisation by the priority for which they were granted.
#[derive(Debug, Default)]
pub struct HeldTokens {
    /// Number of tokens and when they were granted.
    tokens: BTreeMap<u32, (u32, Duration)>,
}

impl HeldTokens {
    /// Replaces the tokens of a priority.
    pub fn put(&mut self, priority: u32, count: u32, now: Duration) {
        self.tokens.insert(priority, (count, now));
    }

    /// Takes a token that is not older than `lifetime`, granted for this priority or, if there is
    /// none, for a lower one.
    pub fn take(&mut self, priority: u32, lifetime: Duration, now: Duration) -> bool {
        let usable = self
            .tokens
            .range_mut(priority..)
            .find(|(_, (count, at))| *count > 0 && now.saturating_sub(*at) <= lifetime);
        let Some((_, (count, _))) = usable else {
            return false;
        };
        *count -= 1;
        true
    }

    /// Number of tokens of exactly this priority that are not older than `lifetime`.
    pub fn count(&self, priority: u32, lifetime: Duration, now: Duration) -> u32 {
        let held = self.tokens.get(&priority);
        let valid = held.filter(|(_, at)| now.saturating_sub(*at) <= lifetime);
        valid.map_or(0, |(count, _)| *count)
    }
}
