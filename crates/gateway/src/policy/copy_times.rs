//! Decides whether a host's copies of the store's objects are recent enough to use a primary.

use std::time::Duration;

/// When the copies were last known to be current, and since when the host is registered.
#[derive(Debug, Clone, Copy)]
pub struct CopyTimes {
    /// Of the records of the primaries; `None` if they were never read.
    pub records: Option<Duration>,
    /// Of the list of hosts; `None` if it was never read.
    pub hosts: Option<Duration>,
    /// When this process was first seen registered; `None` if it is not.
    pub registered: Option<Duration>,
}

impl CopyTimes {
    /// Whether the records may be relied upon. A change of primary asks the hosts that are
    /// registered once its record is written to stop using the old one, and waits `max_record_age`
    /// for those that do not answer. A host that registers later is not asked, so it may only use
    /// records that were current after its registration.
    pub fn allow_primary(
        &self,
        now: Duration,
        max_record_age: Duration,
        max_hosts_age: Duration,
    ) -> bool {
        let within =
            |at: Option<Duration>, limit| at.is_some_and(|at| now.saturating_sub(at) <= limit);
        within(self.records, max_record_age)
            && within(self.hosts, max_hosts_age)
            && self.is_confirmed()
    }

    /// Whether the records were current after the registration.
    pub fn is_confirmed(&self) -> bool {
        match (self.records, self.registered) {
            (Some(records), Some(registered)) => records >= registered,
            _ => false,
        }
    }
}
