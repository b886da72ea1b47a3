//! Result of checking a history.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::history::violation::Violation;

/// Number of violations that are printed in full. The others are only counted.
const MAX_PRINTED: usize = 20;

/// Violations found by checking a history.
#[derive(Debug, Clone, Serialize)]
pub struct Verdict {
    pub records: usize,
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Whether no violation was found.
    pub fn is_valid(&self) -> bool {
        self.violations.is_empty()
    }

    /// Number of violations of each kind.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for violation in &self.violations {
            *counts.entry(violation.kind()).or_default() += 1;
        }
        counts
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_valid() {
            return write!(f, "history of {} records: no violation", self.records);
        }
        write!(f, "history of {} records: VIOLATED", self.records)?;
        for (kind, count) in self.counts() {
            write!(f, "\n  {kind}: {count}")?;
        }
        for violation in self.violations.iter().take(MAX_PRINTED) {
            write!(f, "\n  - {violation}")?;
        }
        Ok(())
    }
}
